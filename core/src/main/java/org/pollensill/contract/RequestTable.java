package org.pollensill.contract;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.pollensill.contract.Refusal.Reason;
import org.pollensill.upstream.Slot;
import org.pollensill.upstream.SlotTable;
import org.pollensill.upstream.Upstream;
import org.pollensill.upstream.UpstreamChoice;
import org.pollensill.upstream.UpstreamHealth;

/**
 * Requests of one pool from admission to outcome. All methods except {@link #earlyRefusal} require both the
 * {@code admission} and the {@code upstreams} lock, which {@link OwnerPool} acquires.
 */
final class RequestTable {

    /** Number of dispatches that have certainly not run after which a request is refused. */
    private static final int MAX_NOT_RUN_DISPATCHES = 3;

    private static final long NS_PER_MS = 1_000_000;

    private final FairQueue queue;
    private final SlotTable slots;
    private final UpstreamHealth health;
    private final RetryBudget retryBudget;
    private final RandomGenerator random;
    private final UpstreamChoice choice = UpstreamChoice.powerOfTwoChoices();
    private final TimerWheel<Timeout> timers;
    private final Map<String, PendingRequest> pending = new HashMap<>();
    private ServiceContract contract;
    private boolean draining;
    private long lastTickNs;

    RequestTable(
            ServiceContract contract,
            FairQueue queue,
            SlotTable slots,
            UpstreamHealth health,
            RandomGenerator random,
            long nowNs) {
        this.contract = Objects.requireNonNull(contract, "contract is null");
        this.queue = Objects.requireNonNull(queue, "queue is null");
        this.slots = Objects.requireNonNull(slots, "slots is null");
        this.health = Objects.requireNonNull(health, "health is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.retryBudget = new RetryBudget(contract.retryBudgetPercent());
        this.timers = new TimerWheel<>(nowNs);
        this.lastTickNs = nowNs;
    }

    void setContract(ServiceContract contract) {
        this.contract = Objects.requireNonNull(contract, "contract is null");
        retryBudget.setPercent(contract.retryBudgetPercent());
    }

    void drain() {
        draining = true;
    }

    int pending() {
        return pending.size();
    }

    /**
     * Returns the refusal of a request that can be refused without the {@code upstreams} lock. During a flood most
     * requests are refused here at low cost.
     */
    Optional<Refusal> earlyRefusal(RequestDescription request, KindQueue kind, long nowNs) {
        if (draining) {
            return Optional.of(new Refusal(Reason.DRAINING, 0));
        }
        if (pending.containsKey(request.requestId())) {
            return Optional.of(new Refusal(Reason.DUPLICATE, 0));
        }
        if (request.deadline().passed(nowNs)) {
            return Optional.of(new Refusal(Reason.DEADLINE_PASSED, 0));
        }
        if (kind.serviceTime.isDeadlineUnattainable(request.deadline().remainingNs(nowNs))) {
            return Optional.of(new Refusal(Reason.DEADLINE_TOO_SHORT, 0));
        }
        return kind.queued() == 0 ? Optional.empty() : queueRefusal(request, kind, nowNs);
    }

    private Optional<Refusal> queueRefusal(RequestDescription request, KindQueue kind, long nowNs) {
        long waitNs = kind.expectedWaitNs(kind.requestsAhead(request.caller()));
        if (waitNs + kind.serviceTime.neededNs() > request.deadline().remainingNs(nowNs)) {
            return Optional.of(new Refusal(Reason.DEADLINE_TOO_SHORT, toMs(waitNs)));
        }
        if (kind.queued() >= kind.contract.queueLimit() && !kind.isBelowFairShare(request.caller())) {
            return Optional.of(new Refusal(Reason.QUEUE_FULL, toMs(waitNs)));
        }
        return Optional.empty();
    }

    /** Dispatches, queues or refuses a request that {@link #earlyRefusal} has not refused. */
    void submit(RequestDescription description, KindQueue kind, long nowNs, List<PoolEffect> effects) {
        if (slots.accepting() == 0) {
            effects.add(new PoolEffect.Refuse(description, new Refusal(Reason.NO_UPSTREAM, 0)));
            return;
        }
        PendingRequest request = new PendingRequest(description, kind);
        boolean immediate = kind.queued() == 0 && queue.mayDispatch(kind, slots);
        if (immediate) {
            if (isDeadlineTooShort(request, (long) kind.serviceTime.meanNs(), nowNs)) {
                effects.add(new PoolEffect.Refuse(description, new Refusal(Reason.DEADLINE_TOO_SHORT, 0)));
                return;
            }
        } else {
            Optional<Refusal> refusal = queueRefusal(description, kind, nowNs);
            if (refusal.isPresent()) {
                effects.add(new PoolEffect.Refuse(description, refusal.get()));
                return;
            }
            if (kind.queued() >= kind.contract.queueLimit()) {
                kind.evictionCandidate(description.caller())
                        .ifPresent(evicted -> refuse(evicted, Reason.QUEUE_FULL, Reason.ANSWER_LOST, effects));
            }
        }
        pending.put(description.requestId(), request);
        request.deadlineTimer = timers.schedule(
                (at, out) -> refuse(request, Reason.DEADLINE_PASSED, Reason.ANSWER_LATE, out),
                description.deadline().atNs());
        if (immediate) {
            dispatch(request, nowNs, effects);
            return;
        }
        kind.addLast(request);
    }

    void answered(Attempt attempt, boolean serverError, long nowNs, List<PoolEffect> effects) {
        if (!markEnded(attempt)) {
            return;
        }
        PendingRequest request = attempt.request;
        slots.release(attempt.slot);
        long serviceNs = nowNs - attempt.dispatchedNs();
        double ratio = request.kind.serviceTime.relativeToMean(serviceNs);
        request.kind.serviceTime.recordSample(serviceNs);
        if (serverError) {
            health.failed(attempt.slot.upstream(), nowNs);
        } else {
            health.succeeded(attempt.slot.upstream(), ratio);
        }
        boolean outcomeOpen = !request.outcome.isDecided();
        request.outcome = request.outcome.answered();
        if (!outcomeOpen) {
            return;
        }
        if (!serverError) {
            retryBudget.recordSuccess();
        }
        removeDecided(request);
        effects.add(new PoolEffect.Answer(attempt, request.description));
    }

    void failed(Attempt attempt, AttemptFailure failure, long nowNs, List<PoolEffect> effects) {
        if (!markEnded(attempt)) {
            return;
        }
        PendingRequest request = attempt.request;
        Upstream upstream = attempt.slot.upstream();
        request.avoidedUpstream = Optional.of(upstream);
        if (failure.notRun()) {
            slots.release(attempt.slot);
            request.outcome = request.outcome.attemptNotRun();
            if (failure == AttemptFailure.REFUSED_LEAVING) {
                health.leaving(upstream, nowNs);
                requeueOrRefuse(request, Reason.UPSTREAM_REFUSED, effects);
                return;
            }
            refuseUnlessOpen(request, Reason.UPSTREAM_REFUSED, effects);
            return;
        }
        slots.releaseAfterExecutionBound(attempt.slot, nowNs);
        health.failed(upstream, nowNs);
        request.outcome = request.outcome.attemptLost();
        boolean mayRetry = !request.outcome.isDecided()
                && request.outcome.open() == 0
                && request.description.idempotent()
                && !draining
                && !isDeadlineTooShort(request, (long) request.kind.serviceTime.meanNs(), nowNs)
                && retryBudget.tryAcquire();
        if (mayRetry) {
            request.kind.addFirst(request);
            return;
        }
        refuseUnlessOpen(request, Reason.UPSTREAM_REFUSED, effects);
    }

    void notWritten(Attempt attempt, boolean upstreamFailed, long nowNs, List<PoolEffect> effects) {
        if (!markEnded(attempt)) {
            return;
        }
        PendingRequest request = attempt.request;
        slots.release(attempt.slot);
        request.outcome = request.outcome.attemptNotRun();
        if (upstreamFailed) {
            request.avoidedUpstream = Optional.of(attempt.slot.upstream());
            health.failed(attempt.slot.upstream(), nowNs);
        }
        requeueOrRefuse(request, Reason.NOT_CONNECTED, effects);
    }

    void cancel(String requestId, List<PoolEffect> effects) {
        PendingRequest request = pending.get(requestId);
        if (request != null) {
            refuse(request, Reason.CANCELLED, Reason.ANSWER_LOST, effects);
        }
    }

    void tick(long nowNs, List<PoolEffect> effects) {
        slots.tick(nowNs);
        queue.updateDemand(slots, nowNs - lastTickNs);
        lastTickNs = nowNs;
        for (Timeout timeout : timers.expire(nowNs)) {
            timeout.expire(nowNs, effects);
        }
    }

    /** Dispatches queued requests while slots allow it. Must be called after every change of slots or queues. */
    void dispatchQueued(long nowNs, List<PoolEffect> effects) {
        if (slots.accepting() == 0) {
            refuseQueued(effects);
        }
        Optional<KindQueue> next = queue.nextKind(slots);
        while (next.isPresent()) {
            PendingRequest request = next.get().poll().orElseThrow();
            if (isDeadlineTooShort(request, request.kind.serviceTime.neededNs(), nowNs)) {
                refuse(request, Reason.DEADLINE_TOO_SHORT, Reason.ANSWER_LOST, effects);
            } else {
                dispatch(request, nowNs, effects);
            }
            next = queue.nextKind(slots);
        }
        for (KindQueue kind : queue.kinds()) {
            queue.updateAttainableSlots(kind, slots);
        }
    }

    private void refuseQueued(List<PoolEffect> effects) {
        for (KindQueue kind : queue.kinds()) {
            Optional<PendingRequest> request = kind.poll();
            while (request.isPresent()) {
                refuse(request.get(), Reason.NO_UPSTREAM, Reason.ANSWER_LOST, effects);
                request = kind.poll();
            }
        }
    }

    private void dispatch(PendingRequest request, long nowNs, List<PoolEffect> effects) {
        Upstream upstream = choice.choose(slots.usable(request.kind.index), request.avoidedUpstream, random)
                .orElseThrow();
        Slot slot = slots.take(upstream, request.kind.index, nowNs).orElseThrow();
        request.outcome = request.outcome.dispatched();
        Attempt attempt = new Attempt(request, slot, ++request.attemptCount);
        attempt.executionBoundTimer = timers.schedule(
                (at, out) -> out.add(new PoolEffect.CloseConnection(attempt)),
                nowNs + request.kind.contract.executionBoundMs() * NS_PER_MS);
        if (request.description.idempotent() && request.outcome.open() == 1) {
            long tailNs = request.kind.serviceTime.tailNs();
            if (tailNs < request.description.deadline().remainingNs(nowNs)) {
                attempt.hedgeTimer = timers.schedule((at, out) -> hedge(attempt, at, out), nowNs + tailNs);
            }
        }
        effects.add(new PoolEffect.Dispatch(attempt, request.description));
    }

    private void hedge(Attempt attempt, long nowNs, List<PoolEffect> effects) {
        PendingRequest request = attempt.request;
        KindQueue kind = request.kind;
        boolean enoughFreeSlots = slots.free() * 100L > (long) contract.hedgeFreeSlotsPercent() * slots.total();
        if (request.outcome.isDecided() || !enoughFreeSlots || kind.queued() > 0 || !queue.mayDispatch(kind, slots)) {
            return;
        }
        Upstream hedgedUpstream = attempt.slot.upstream();
        boolean otherUpstreamUsable =
                slots.usable(kind.index).size() > 1 || slots.usable(kind.index).get(0) != hedgedUpstream;
        if (!otherUpstreamUsable || !retryBudget.tryAcquire()) {
            return;
        }
        request.avoidedUpstream = Optional.of(hedgedUpstream);
        dispatch(request, nowNs, effects);
    }

    /**
     * Queues a request again whose dispatch has certainly not run, or refuses it after too many such dispatches. A
     * request that is not idempotent still runs at most once.
     */
    private void requeueOrRefuse(PendingRequest request, Reason reason, List<PoolEffect> effects) {
        boolean mayRequeue = !request.outcome.isDecided()
                && request.outcome.open() == 0
                && !draining
                && ++request.notRunDispatches < MAX_NOT_RUN_DISPATCHES;
        if (mayRequeue) {
            request.kind.addFirst(request);
            return;
        }
        refuseUnlessOpen(request, reason, effects);
    }

    private void refuseUnlessOpen(PendingRequest request, Reason notRunReason, List<PoolEffect> effects) {
        if (request.outcome.open() == 0) {
            refuse(request, notRunReason, Reason.ANSWER_LOST, effects);
        }
    }

    private void refuse(PendingRequest request, Reason notRunReason, Reason unknownReason, List<PoolEffect> effects) {
        if (request.outcome.isDecided()) {
            return;
        }
        request.outcome = request.outcome.decideWithoutAnswer();
        removeDecided(request);
        boolean mayHaveRun = request.outcome.state() == RequestOutcome.State.UNKNOWN;
        long retryAfterMs = toMs(request.kind.expectedWaitNs(request.kind.queued()));
        effects.add(new PoolEffect.Refuse(
                request.description, new Refusal(mayHaveRun ? unknownReason : notRunReason, retryAfterMs)));
    }

    private void removeDecided(PendingRequest request) {
        pending.remove(request.description.requestId());
        timers.cancel(request.deadlineTimer);
        request.kind.remove(request);
    }

    private boolean markEnded(Attempt attempt) {
        if (attempt.ended) {
            return false;
        }
        attempt.ended = true;
        timers.cancel(attempt.executionBoundTimer);
        if (attempt.hedgeTimer != null) {
            timers.cancel(attempt.hedgeTimer);
        }
        return true;
    }

    /**
     * Returns whether the remaining time is too short. If no request of the kind is in progress, one is admitted
     * anyway; otherwise an outdated long service time would never be measured again.
     */
    private boolean isDeadlineTooShort(PendingRequest request, long neededNs, long nowNs) {
        long remainingNs = request.description.deadline().remainingNs(nowNs);
        if (remainingNs == 0) {
            return true;
        }
        return neededNs > remainingNs && slots.used(request.kind.index) > 0;
    }

    private static long toMs(long ns) {
        return (ns + NS_PER_MS - 1) / NS_PER_MS;
    }
}
