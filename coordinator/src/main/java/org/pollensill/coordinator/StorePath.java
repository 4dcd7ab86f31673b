package org.pollensill.coordinator;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.pollensill.adapter.HttpCalls;
import org.pollensill.coordinator.peer.wire.StoreCall;
import org.pollensill.coordinator.peer.wire.StoreReply;
import org.pollensill.error.Failures;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.HttpException;
import org.pollensill.runtime.http.Request;

/**
 * The way to the store: directly, or through a peer while the store turns this machine away or cannot be reached from
 * it. The direct way is tried again by a call now and then.
 */
final class StorePath implements HttpCalls {

    private static final EventLog LOG = EventLog.of(StorePath.class);

    /** Points of failures in a row after which calls take the way through a peer. */
    private static final int FAILURES_TO_RELAY = 4;

    private static final int FAILURE_POINTS = 2;

    /** Points of a 429, which is a limit of the whole store more often than one of this machine. */
    private static final int LIMITED_POINTS = 1;

    /** While calls are relayed, the direct way is tried this often. */
    private static final long PROBE_MS = 400;

    private final Loop loop;
    private final HttpCalls direct;
    private final InetSocketAddress store;
    private final Peers peers;
    private final String probeUri;
    private int failures;
    private boolean relaying;

    /**
     * Creates the path.
     *
     * @param probeUri a cheap read by which the direct way is tried
     */
    StorePath(Loop loop, HttpCalls direct, InetSocketAddress store, Peers peers, String probeUri) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.direct = direct;
        this.store = store;
        this.peers = peers;
        this.probeUri = probeUri;
    }

    /** Returns whether this machine reaches the store itself. */
    boolean reachable() {
        return failures < FAILURES_TO_RELAY;
    }

    @Override
    public CompletableFuture<Answer> send(InetSocketAddress address, Request request, long timeoutMs) {
        if (relaying && peers.canRelay()) {
            return peers.callStore(request, timeoutMs);
        }
        return sendDirect(request, timeoutMs);
    }

    private CompletableFuture<Answer> sendDirect(Request request, long timeoutMs) {
        CompletableFuture<Answer> answer = direct.send(store, request, timeoutMs);
        answer.whenComplete((reply, failure) -> note(failure == null ? points(reply.status()) : FAILURE_POINTS));
        return answer;
    }

    private static int points(int status) {
        if (status == 429) {
            return LIMITED_POINTS;
        }
        return status == 503 ? FAILURE_POINTS : 0;
    }

    private void note(int points) {
        boolean answered = points == 0;
        failures = answered ? 0 : failures + points;
        if (answered && relaying) {
            relaying = false;
            LOG.log(CoordinatorEvent.STORE_DIRECT);
        }
        if (failures >= FAILURES_TO_RELAY && !relaying) {
            relaying = true;
            LOG.log(CoordinatorEvent.STORE_RELAYED, "failures", failures, "peer", peers.canRelay());
            loop.after(PROBE_MS, this::probe);
        }
    }

    private void probe() {
        if (!relaying) {
            return;
        }
        sendDirect(Request.get(probeUri), PROBE_MS);
        loop.after(PROBE_MS, this::probe);
    }

    /** Makes a direct call for a peer. */
    CompletableFuture<StoreReply> callForPeer(StoreCall call) {
        Headers headers = Headers.of("Content-Type", "application/json");
        Request request = new Request(
                call.getMethod(), call.getUri(), headers, call.getBody().toByteArray());
        return sendDirect(request, call.getTimeoutMs()).handle((answer, failure) -> {
            if (failure == null) {
                return StoreReply.newBuilder()
                        .setStatus(answer.status())
                        .setBody(com.google.protobuf.ByteString.copyFrom(answer.body()))
                        .setSent(true)
                        .build();
            }
            Throwable cause = Failures.unwrap(failure);
            return StoreReply.newBuilder()
                    .setSent(!(cause instanceof HttpException http) || http.sent())
                    .setProblem(String.valueOf(cause.getMessage()))
                    .build();
        });
    }
}
