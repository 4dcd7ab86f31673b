package org.pollensill.runtime.http;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.pollensill.runtime.net.Addresses;

/** A client request with its deadline and the future of its response. */
final class ClientExchange {

    private final InetSocketAddress address;
    private final Function<ClientConnection, Request> requestOfConnection;
    private final long timeoutMs;
    private final long startNs = System.nanoTime();
    private final SendGuard guard;
    private final CompletableFuture<Answer> response = new CompletableFuture<>();
    private volatile boolean sent;
    private volatile String method = "";

    ClientExchange(
            InetSocketAddress address,
            Function<ClientConnection, Request> requestOfConnection,
            long timeoutMs,
            SendGuard guard) {
        this.address = address;
        this.requestOfConnection = requestOfConnection;
        this.timeoutMs = timeoutMs;
        this.guard = guard;
    }

    CompletableFuture<Answer> response() {
        return response;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the request to write to a connection. */
    Request requestFor(ClientConnection connection) {
        Request request = requestOfConnection.apply(connection);
        method = request.method() + " ";
        return request;
    }

    long remainingMs() {
        return timeoutMs - (System.nanoTime() - startNs) / 1_000_000;
    }

    /** Marks the request as sent if the guard allows it. Called immediately before the write. */
    boolean tryMarkSent() {
        if (!guard.maySend()) {
            fail(HttpException.Reason.FORBIDDEN_BY_GUARD, "the send guard withheld the request");
            return false;
        }
        sent = true;
        return true;
    }

    void fail(HttpException.Reason reason, String message) {
        response.completeExceptionally(
                new HttpException(reason, sent, message + ": " + method + Addresses.format(address)));
    }
}
