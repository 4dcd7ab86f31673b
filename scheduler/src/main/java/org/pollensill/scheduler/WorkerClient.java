package org.pollensill.scheduler;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pollensill.batch.WorkerCall;
import org.pollensill.batch.WorkerReport;
import org.pollensill.error.Failures;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.HttpException;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.SendGuard;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;

/** Calls workers over HTTP. */
final class WorkerClient {

    private static final long TIMEOUT_MS = 2_000;

    private final HttpClient client;

    WorkerClient(HttpClient client) {
        this.client = Objects.requireNonNull(client, "client is null");
    }

    /** Sends a call if the guard allows it right before the write. */
    CompletableFuture<WorkerCall.Result> call(String address, WorkerCall call, SendGuard guard) {
        try {
            return client.send(Addresses.parse(address), WorkerWire.request(call), TIMEOUT_MS, guard)
                    .thenApply(WorkerWire::result)
                    .exceptionally(WorkerClient::failed);
        } catch (AddressException e) {
            return CompletableFuture.completedFuture(WorkerCall.Result.NOT_SENT);
        }
    }

    private static WorkerCall.Result failed(Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        boolean sent = !(cause instanceof HttpException http) || http.sent();
        return sent ? WorkerCall.Result.UNKNOWN : WorkerCall.Result.NOT_SENT;
    }

    /** Asks for a report; empty where there is none. */
    CompletableFuture<Optional<WorkerReport>> report(String address) {
        try {
            return client.send(Addresses.parse(address), Request.get("/report"), TIMEOUT_MS)
                    .thenApply(WorkerWire::report)
                    .exceptionally(failure -> Optional.empty());
        } catch (AddressException e) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
    }
}
