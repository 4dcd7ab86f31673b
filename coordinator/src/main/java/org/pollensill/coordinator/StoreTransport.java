package org.pollensill.coordinator;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.pollensill.adapter.HttpSender;
import org.pollensill.coordinator.peer.wire.StoreCall;
import org.pollensill.coordinator.peer.wire.StoreReply;
import org.pollensill.error.Failures;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.HttpException;
import org.pollensill.runtime.http.Request;

/**
 * Sends calls to the store: directly, or relayed through a peer while the store rejects this machine or cannot be
 * reached from it. While calls are relayed, a periodic probe checks the direct connection.
 */
final class StoreTransport implements HttpSender {

    private static final EventLog LOG = EventLog.of(StoreTransport.class);

    /** Sum of the points of consecutive failures from which on calls are relayed through a peer. */
    private static final int RELAY_THRESHOLD_POINTS = 4;

    private static final int FAILURE_POINTS = 2;

    /** Points of a 429, which more often reports a limit of the whole store than one of this machine. */
    private static final int RATE_LIMIT_POINTS = 1;

    /** Interval between two probes of the direct connection while calls are relayed. */
    private static final long PROBE_INTERVAL_MS = 400;

    private final CoordinatorLoop loop;
    private final HttpSender direct;
    private final InetSocketAddress storeAddress;
    private final Peers peers;
    private final String probeUri;
    private int failurePoints;
    private boolean relaying;

    /**
     * Creates a transport.
     *
     * @param probeUri a cheap read that probes the direct connection
     */
    StoreTransport(
            CoordinatorLoop loop, HttpSender direct, InetSocketAddress storeAddress, Peers peers, String probeUri) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.direct = direct;
        this.storeAddress = storeAddress;
        this.peers = peers;
        this.probeUri = probeUri;
    }

    /** Returns whether this machine reaches the store directly. */
    boolean reachable() {
        return failurePoints < RELAY_THRESHOLD_POINTS;
    }

    @Override
    public CompletableFuture<Answer> send(InetSocketAddress address, Request request, long timeoutMs) {
        if (relaying && peers.canRelay()) {
            return peers.callStore(request, timeoutMs);
        }
        return sendDirect(request, timeoutMs);
    }

    private CompletableFuture<Answer> sendDirect(Request request, long timeoutMs) {
        CompletableFuture<Answer> answer = direct.send(storeAddress, request, timeoutMs);
        answer.whenComplete(
                (reply, failure) -> recordResult(failure == null ? failurePointsOf(reply.status()) : FAILURE_POINTS));
        return answer;
    }

    private static int failurePointsOf(int status) {
        if (status == 429) {
            return RATE_LIMIT_POINTS;
        }
        return status == 503 ? FAILURE_POINTS : 0;
    }

    private void recordResult(int points) {
        boolean succeeded = points == 0;
        failurePoints = succeeded ? 0 : failurePoints + points;
        if (succeeded && relaying) {
            relaying = false;
            LOG.log(CoordinatorEvent.STORE_DIRECT);
        }
        if (failurePoints >= RELAY_THRESHOLD_POINTS && !relaying) {
            relaying = true;
            LOG.log(CoordinatorEvent.STORE_RELAYED, "failures", failurePoints, "peer", peers.canRelay());
            loop.schedule(PROBE_INTERVAL_MS, this::probe);
        }
    }

    private void probe() {
        if (!relaying) {
            return;
        }
        sendDirect(Request.get(probeUri), PROBE_INTERVAL_MS);
        loop.schedule(PROBE_INTERVAL_MS, this::probe);
    }

    /** Sends a call directly on behalf of a peer. */
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
