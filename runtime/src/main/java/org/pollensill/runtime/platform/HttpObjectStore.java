package org.pollensill.runtime.platform;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pollensill.platform.ObjectStore;
import org.pollensill.platform.PlatformException.Effect;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.Request;

/** HTTP client of the object store. */
public final class HttpObjectStore implements ObjectStore {

    private static final byte[] NO_BODY = new byte[0];

    private final PlatformCalls calls;

    /**
     * Creates the client of an object store.
     *
     * @param client the HTTP client
     * @param address the store's address
     */
    public HttpObjectStore(HttpClient client, InetSocketAddress address) {
        calls = new PlatformCalls(
                Objects.requireNonNull(client, "client is null"), Objects.requireNonNull(address, "address is null"));
    }

    @Override
    public CompletableFuture<Void> put(String name, byte[] content) {
        return call("PUT", name, content).thenCompose(answer -> completion(answer, false));
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String name) {
        return call("GET", name, NO_BODY).thenCompose(answer -> {
            if (answer.status() == 404) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            return answer.status() == 200
                    ? CompletableFuture.completedFuture(Optional.of(answer.body()))
                    : calls.failure(answer, Effect.NONE);
        });
    }

    @Override
    public CompletableFuture<Void> delete(String name) {
        return call("DELETE", name, NO_BODY).thenCompose(answer -> completion(answer, true));
    }

    private CompletableFuture<Answer> call(String method, String name, byte[] body) {
        return calls.send(new Request(method, "/objects/" + name, Headers.empty(), body), Effect.UNKNOWN);
    }

    private CompletableFuture<Void> completion(Answer answer, boolean notFoundAllowed) {
        boolean succeeded = answer.status() / 100 == 2 || notFoundAllowed && answer.status() == 404;
        return succeeded ? CompletableFuture.completedFuture(null) : calls.failure(answer, Effect.UNKNOWN);
    }
}
