package org.pollensill.runtime.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import org.pollensill.error.Failures;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.PlatformException.Effect;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.HttpException;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.net.Addresses;

/** Sends calls to a platform service and converts failures to {@link PlatformException}. */
final class PlatformCalls {

    private static final long TIMEOUT_MS = 2_000;

    private final HttpClient client;
    private final InetSocketAddress address;

    PlatformCalls(HttpClient client, InetSocketAddress address) {
        this.client = client;
        this.address = address;
    }

    CompletableFuture<Answer> send(Request request, Effect effectIfSent) {
        return client.send(address, request, TIMEOUT_MS).exceptionallyCompose(failure -> {
            Throwable cause = Failures.unwrap(failure);
            boolean sent = !(cause instanceof HttpException http) || http.sent();
            return CompletableFuture.failedFuture(new PlatformException(
                    sent ? effectIfSent : Effect.NONE, "call to " + request.uri() + " failed: " + cause.getMessage()));
        });
    }

    <T> CompletableFuture<T> failure(Answer answer, Effect effect) {
        return CompletableFuture.failedFuture(new PlatformException(
                effect, "platform service at " + Addresses.format(address) + " answered status " + answer.status()));
    }
}
