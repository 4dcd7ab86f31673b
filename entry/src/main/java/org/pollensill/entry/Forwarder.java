package org.pollensill.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import org.pollensill.contract.PoolLoad;
import org.pollensill.contract.Refusal;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.runtime.peer.PeerLink;
import org.pollensill.runtime.peer.PeerListener;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.Forward;
import org.pollensill.runtime.peer.wire.ForwardReply;

/** Forwards requests to peers that own upstreams, and submits requests forwarded by peers to the local pools. */
final class Forwarder implements PeerListener, OwnerTransport {

    /** Extra time after the deadline for the owner's reply, which states whether the request ran. */
    private static final long OWNER_REPLY_GRACE_MS = 250;

    private final PeerHub hub;
    private final LocalPools pools;
    private final PeerLoads loads;
    private final EventLoopGroup loops;
    private final LongSupplier clockNs;
    private final RequestTraces traces;
    private final AnswerListener answerListener;
    private final Map<AttemptKey, PendingForward> pendingForwards = new ConcurrentHashMap<>();

    /** Receives the size of each answer that is sent to a peer. */
    @FunctionalInterface
    interface AnswerListener {

        /**
         * Called before an answer is sent.
         *
         * @param peer the peer that forwarded the request
         * @param request the request
         * @param bytes size of the answer's body
         */
        void answerSent(PeerIdentity peer, CallerRequest request, long bytes);
    }

    private record AttemptKey(String requestId, int attempt) {}

    private record PendingForward(
            String service,
            boolean idempotent,
            InetSocketAddress owner,
            PeerLink link,
            ReplyHandler replyHandler,
            Runnable onLost,
            Future<?> timeout) {}

    Forwarder(
            PeerHub hub,
            LocalPools pools,
            PeerLoads loads,
            EventLoopGroup loops,
            LongSupplier clockNs,
            RequestTraces traces,
            AnswerListener answerListener) {
        this.hub = Objects.requireNonNull(hub, "hub is null");
        this.pools = Objects.requireNonNull(pools, "pools is null");
        this.loads = Objects.requireNonNull(loads, "loads is null");
        this.loops = Objects.requireNonNull(loops, "loops is null");
        this.clockNs = Objects.requireNonNull(clockNs, "clockNs is null");
        this.traces = Objects.requireNonNull(traces, "traces is null");
        this.answerListener = Objects.requireNonNull(answerListener, "answerListener is null");
    }

    @Override
    public boolean forward(
            CallerRequest request, int attempt, InetSocketAddress owner, ReplyHandler replyHandler, Runnable onLost) {
        Optional<PeerLink> link = hub.link(owner);
        if (link.isEmpty()) {
            return false;
        }
        long nowNs = clockNs.getAsLong();
        long remainingMs = request.description().deadline().remainingMsAfterHop(nowNs, 0);
        AttemptKey key = new AttemptKey(request.description().requestId(), attempt);
        Future<?> timeout =
                loops.next().schedule(() -> timedOut(key), remainingMs + OWNER_REPLY_GRACE_MS, TimeUnit.MILLISECONDS);
        pendingForwards.put(
                key,
                new PendingForward(
                        request.service(),
                        request.description().idempotent(),
                        owner,
                        link.get(),
                        replyHandler,
                        onLost,
                        timeout));
        loads.countForward(owner, request.service());
        traces.addStep(
                key.requestId(),
                System.currentTimeMillis(),
                "forwarded",
                link.get().peer().host());
        link.get().send(PeerMessages.forward(request, attempt, remainingMs));
        if (!link.get().isOpen()) {
            removePending(key).ifPresent(forward -> forward.onLost().run());
        }
        return true;
    }

    @Override
    public void cancel(String service, String requestId, int attempt) {
        PendingForward entry = pendingForwards.get(new AttemptKey(requestId, attempt));
        if (entry != null) {
            entry.link().send(PeerMessages.cancel(service, requestId, attempt));
        }
    }

    private void timedOut(AttemptKey key) {
        removePending(key).ifPresent(entry -> {
            entry.link().send(PeerMessages.cancel(entry.service(), key.requestId(), key.attempt()));
            entry.replyHandler().refused(new Refusal(Refusal.Reason.ANSWER_LATE, 0));
        });
    }

    /**
     * Fails over idempotent requests from owners that have stopped sending load reports, so that another owner can
     * answer before the deadline. A frozen process keeps its connections open.
     */
    void failOverFromUnresponsiveOwners() {
        long nowNs = clockNs.getAsLong();
        for (Map.Entry<AttemptKey, PendingForward> entry : pendingForwards.entrySet()) {
            PendingForward request = entry.getValue();
            if (request.idempotent() && loads.isUnresponsive(request.owner(), request.service(), nowNs)) {
                removePending(entry.getKey())
                        .ifPresent(pending -> pending.onLost().run());
            }
        }
    }

    private Optional<PendingForward> removePending(AttemptKey key) {
        PendingForward entry = pendingForwards.remove(key);
        if (entry != null) {
            entry.timeout().cancel(false);
        }
        return Optional.ofNullable(entry);
    }

    @Override
    public void received(PeerLink link, Envelope envelope) {
        switch (envelope.getMessageCase()) {
            case FORWARD -> submitToPool(link, envelope.getForward());
            case FORWARD_REPLY -> handleReply(link, envelope.getForwardReply());
            case FORWARD_CANCEL ->
                pools.pool(envelope.getForwardCancel().getService())
                        .ifPresent(
                                pool -> pool.cancel(envelope.getForwardCancel().getRequestId()));
            case LOAD_REPORT ->
                envelope.getLoadReport().getLoadsList().forEach(load -> recordLoad(link, PeerMessages.load(load)));
            default -> {
                // Handled by other listeners.
            }
        }
    }

    private void submitToPool(PeerLink link, Forward forward) {
        Optional<ServicePool> pool = pools.pool(forward.getService());
        if (pool.isEmpty()) {
            link.send(PeerMessages.refused(forward, new Refusal(Refusal.Reason.NO_UPSTREAM, 0), Optional.empty()));
            return;
        }
        CallerRequest request = PeerMessages.request(forward, clockNs.getAsLong());
        traces.start(request, System.currentTimeMillis(), link.peer().host());
        pool.get().submit(request, new ReplyHandler() {
            @Override
            public void answered(Answer answer) {
                answerListener.answerSent(link.peer(), request, answer.body().length);
                link.send(PeerMessages.answered(
                        forward, answer, Optional.of(pool.get().ownerPool().load())));
            }

            @Override
            public void refused(Refusal refusal) {
                link.send(PeerMessages.refused(
                        forward, refusal, Optional.of(pool.get().ownerPool().load())));
            }
        });
    }

    private void handleReply(PeerLink link, ForwardReply message) {
        if (message.hasLoad()) {
            recordLoad(link, PeerMessages.load(message.getLoad()));
        }
        Optional<PendingForward> entry = removePending(new AttemptKey(message.getRequestId(), message.getAttempt()));
        if (entry.isEmpty()) {
            return;
        }
        if (message.getOutcome().equals(CallerAnswers.COMPLETED)) {
            entry.get().replyHandler().answered(PeerMessages.answer(message));
            return;
        }
        entry.get().replyHandler().refused(PeerMessages.refusal(message));
    }

    private void recordLoad(PeerLink link, PoolLoad load) {
        try {
            loads.update(Addresses.parse(link.peer().address()), link.peer(), load, clockNs.getAsLong());
        } catch (AddressException e) {
            // The address comes from the handshake; requests are never forwarded to an address that cannot be parsed.
            return;
        }
    }

    @Override
    public void disconnected(PeerLink link) {
        for (Map.Entry<AttemptKey, PendingForward> entry : pendingForwards.entrySet()) {
            if (entry.getValue().link() == link) {
                removePending(entry.getKey())
                        .ifPresent(request -> request.onLost().run());
            }
        }
        if (link.isOutgoing()) {
            try {
                loads.remove(Addresses.parse(link.peer().address()));
            } catch (AddressException e) {
                return;
            }
        }
    }
}
