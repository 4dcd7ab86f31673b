package org.pollensill.entry;

import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

import org.pollensill.contract.Refusal;
import org.pollensill.runtime.http.Answer;

/** Routes a request to the owner that can start it first, local or remote, and to another one after a refusal. */
final class OwnerRouter implements RequestRouter {

    /** Reasons that are specific to one owner. Overload is excluded, so that retries do not add to it. */
    private static final Set<Refusal.Reason> REASONS_TO_TRY_OTHER_OWNER = EnumSet.of(
            Refusal.Reason.NO_UPSTREAM,
            Refusal.Reason.NOT_CONNECTED,
            Refusal.Reason.UPSTREAM_REFUSED,
            Refusal.Reason.DRAINING);

    private static final int MAX_OWNERS = 3;

    private final LocalPools pools;
    private final OwnerTransport transport;
    private final OwnerCandidates candidates;
    private final LongSupplier clockNs;
    private final Map<String, RoutedRequest> routedRequests = new ConcurrentHashMap<>();

    OwnerRouter(LocalPools pools, OwnerTransport transport, OwnerCandidates candidates, LongSupplier clockNs) {
        this.pools = Objects.requireNonNull(pools, "pools is null");
        this.transport = Objects.requireNonNull(transport, "transport is null");
        this.candidates = Objects.requireNonNull(candidates, "candidates is null");
        this.clockNs = Objects.requireNonNull(clockNs, "clockNs is null");
    }

    @Override
    public void route(CallerRequest request, ReplyHandler replyHandler) {
        RoutedRequest routed = new RoutedRequest(request, replyHandler);
        routedRequests.put(request.description().requestId(), routed);
        routed.tryNextOwner(new Refusal(Refusal.Reason.NO_UPSTREAM, 0));
    }

    @Override
    public void cancel(CallerRequest request) {
        RoutedRequest routed = routedRequests.get(request.description().requestId());
        if (routed != null) {
            routed.cancel();
        }
    }

    /** Returns whether any of the services has an owner with slots. */
    boolean canServe(Set<String> services) {
        for (String service : services) {
            if (candidates.isServed(service)) {
                return true;
            }
        }
        return false;
    }

    int pending() {
        return routedRequests.size();
    }

    /** A request in progress, which is sent to at most {@link #MAX_OWNERS} owners one after the other. */
    private final class RoutedRequest implements ReplyHandler {

        private final CallerRequest request;
        private final ReplyHandler replyHandler;
        private final Set<InetSocketAddress> triedOwners = new HashSet<>();
        private boolean triedLocal;
        private int attempts;
        private boolean mayHaveRun;

        RoutedRequest(CallerRequest request, ReplyHandler replyHandler) {
            this.request = request;
            this.replyHandler = replyHandler;
        }

        /** Sends the request to the next owner. No lock is held meanwhile, since the effects may end other requests. */
        void tryNextOwner(Refusal lastRefusal) {
            Optional<OwnerAttempt> ownerAttempt = chooseNextOwner();
            while (ownerAttempt.isPresent()) {
                if (ownerAttempt.get().peer().isEmpty()) {
                    pools.pool(request.service()).orElseThrow().submit(request, this);
                    return;
                }
                InetSocketAddress peer = ownerAttempt.get().peer().get();
                if (transport.forward(request, ownerAttempt.get().attempt(), peer, this, this::attemptLost)) {
                    return;
                }
                ownerAttempt = chooseNextOwner();
            }
            finish(lastRefusal);
        }

        private synchronized Optional<OwnerAttempt> chooseNextOwner() {
            while (attempts < MAX_OWNERS) {
                Optional<OwnerCandidates.Candidate> chosen =
                        candidates.choose(request, triedOwners, triedLocal, clockNs.getAsLong());
                if (chosen.isEmpty()) {
                    return Optional.empty();
                }
                Optional<InetSocketAddress> peer = chosen.get().peer();
                if (peer.isEmpty()) {
                    triedLocal = true;
                } else {
                    triedOwners.add(peer.get());
                }
                if (candidates.reserveLink(request, chosen.get(), clockNs.getAsLong())) {
                    attempts++;
                    return Optional.of(new OwnerAttempt(attempts, peer));
                }
            }
            return Optional.empty();
        }

        private void attemptLost() {
            synchronized (this) {
                mayHaveRun = true;
            }
            boolean timeLeft = !request.description().deadline().passed(clockNs.getAsLong());
            Refusal outcomeUnknown = new Refusal(Refusal.Reason.ANSWER_LOST, 0);
            if (request.description().idempotent() && timeLeft) {
                tryNextOwner(outcomeUnknown);
                return;
            }
            finish(outcomeUnknown);
        }

        @Override
        public void answered(Answer answer) {
            routedRequests.remove(request.description().requestId(), this);
            candidates.recordAnswerSize(request, answer.body().length);
            replyHandler.answered(answer);
        }

        @Override
        public void refused(Refusal refusal) {
            if (REASONS_TO_TRY_OTHER_OWNER.contains(refusal.reason())) {
                tryNextOwner(refusal);
                return;
            }
            finish(refusal);
        }

        /** Ends the request without an answer. After a lost attempt, a refusal cannot mean "not run" any more. */
        private void finish(Refusal refusal) {
            routedRequests.remove(request.description().requestId(), this);
            boolean outcomeUnknown;
            synchronized (this) {
                outcomeUnknown = mayHaveRun;
            }
            replyHandler.refused(
                    outcomeUnknown && refusal.reason().notRun() ? new Refusal(Refusal.Reason.ANSWER_LOST, 0) : refusal);
        }

        void cancel() {
            pools.pool(request.service())
                    .ifPresent(pool -> pool.cancel(request.description().requestId()));
            transport.cancel(request.service(), request.description().requestId(), attempts());
        }

        private synchronized int attempts() {
            return attempts;
        }
    }

    private record OwnerAttempt(int attempt, Optional<InetSocketAddress> peer) {}
}
