package org.pollensill.contract;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.pollensill.upstream.EjectionPolicy;
import org.pollensill.upstream.SlotAllowance;
import org.pollensill.upstream.SlotTable;
import org.pollensill.upstream.Upstream;
import org.pollensill.upstream.UpstreamConnections;
import org.pollensill.upstream.UpstreamHealth;

/**
 * All upstreams of one service that this process owns, with the requests that are queued for them or run on them. The
 * pool takes all decisions and does no I/O: the daemon reports events and carries out the returned effects in their
 * order.
 *
 * <p>Thread-safe. The {@code admission} lock guards requests and queues, the {@code upstreams} lock guards slots and
 * health; {@code admission} is always acquired before {@code upstreams}. Effects are carried out after both are
 * released.
 */
public final class OwnerPool {

    private static final long NS_PER_MS = 1_000_000;

    private final ReentrantLock admission = new ReentrantLock();
    private final ReentrantLock upstreams = new ReentrantLock();
    private final FairQueue queue = new FairQueue();
    private final SlotTable slots = SlotTable.of(List.of());
    private final UpstreamHealth health;
    private final RequestTable requests;
    private final UpstreamConnections connections = new UpstreamConnections(slots, upstreams);
    private final KindQueue defaultKind;
    private ServiceContract contract;

    private OwnerPool(ServiceContract contract, EjectionPolicy policy, RandomGenerator random, long nowNs) {
        this.contract = Objects.requireNonNull(contract, "contract is null");
        health = new UpstreamHealth(slots, policy, nowNs);
        requests = new RequestTable(contract, queue, slots, health, random, nowNs);
        addNewKinds(contract);
        defaultKind = addKind(DefaultKindContract.of(contract));
    }

    /**
     * Creates a pool without upstreams.
     *
     * @param contract the service's contract
     * @param policy ejection policy of the upstreams
     * @param random source of randomness, used only while the pool's locks are held
     * @param nowNs current time
     * @return the pool
     */
    public static OwnerPool of(ServiceContract contract, EjectionPolicy policy, RandomGenerator random, long nowNs) {
        return new OwnerPool(contract, policy, random, nowNs);
    }

    /**
     * Dispatches, queues or refuses a new request.
     *
     * @param request the request
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> submit(RequestDescription request, long nowNs) {
        Objects.requireNonNull(request, "request is null");
        admission.lock();
        try {
            KindQueue kind = queue.kind(request.kind()).orElse(defaultKind);
            Optional<Refusal> refusal = requests.earlyRefusal(request, kind, nowNs);
            if (refusal.isPresent()) {
                return List.of(new PoolEffect.Refuse(request, refusal.get()));
            }
            List<PoolEffect> effects = new ArrayList<>(2);
            upstreams.lock();
            try {
                requests.submit(request, kind, nowNs, effects);
                queue.updateAttainableSlots(kind, slots);
            } finally {
                upstreams.unlock();
            }
            return effects;
        } finally {
            admission.unlock();
        }
    }

    /**
     * Records the complete answer to an attempt. Its connection may be reused.
     *
     * @param attempt the attempt
     * @param serverError whether the status is 500 or above, which counts as an upstream failure
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> answered(Attempt attempt, boolean serverError, long nowNs) {
        return update(nowNs, effects -> requests.answered(attempt, serverError, nowNs, effects));
    }

    /**
     * Records that an attempt ended without a complete answer. Unless the upstream refused the request, the daemon must
     * close the connection before this call.
     *
     * @param attempt the attempt
     * @param failure why it failed
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> failed(Attempt attempt, AttemptFailure failure, long nowNs) {
        Objects.requireNonNull(failure, "failure is null");
        return update(nowNs, effects -> requests.failed(attempt, failure, nowNs, effects));
    }

    /**
     * Records that no byte of an attempt was written: the connection could not be opened, or the check right before the
     * write showed that this owner may no longer dispatch.
     *
     * @param attempt the attempt
     * @param upstreamFailed whether this counts as an upstream failure
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> notWritten(Attempt attempt, boolean upstreamFailed, long nowNs) {
        return update(nowNs, effects -> requests.notWritten(attempt, upstreamFailed, nowNs, effects));
    }

    /**
     * Cancels a request whose caller no longer waits for the answer. A dispatched attempt keeps its slot until it ends.
     *
     * @param requestId id of the request; an unknown id is ignored
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> cancel(String requestId, long nowNs) {
        return update(nowNs, effects -> requests.cancel(requestId, effects));
    }

    /**
     * Expires timers and updates time-dependent state. Must be called every few milliseconds.
     *
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> tick(long nowNs) {
        return update(nowNs, effects -> {
            requests.tick(nowNs, effects);
            for (Upstream upstream : health.tick(nowNs)) {
                effects.add(new PoolEffect.Probe(upstream.name()));
            }
        });
    }

    /** Refuses all new requests from now on; queued and running requests continue. */
    public void drain() {
        admission.lock();
        try {
            requests.drain();
        } finally {
            admission.unlock();
        }
    }

    /**
     * Replaces the contract. Kinds that the new contract does not name continue without a guarantee.
     *
     * @param newContract the new contract
     * @param policy the new ejection policy
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> settingsChanged(ServiceContract newContract, EjectionPolicy policy, long nowNs) {
        Objects.requireNonNull(newContract, "newContract is null");
        return update(nowNs, effects -> {
            contract = newContract;
            health.setPolicy(policy);
            requests.setContract(newContract);
            for (KindQueue kind : queue.kinds()) {
                kind.contract = newContract
                        .kind(kind.contract.kind())
                        .orElseGet(() -> DefaultKindContract.of(newContract, kind.contract.kind()));
                slots.changeKind(kind.index, HoldTime.limits(kind.contract));
            }
            addNewKinds(newContract);
        });
    }

    /**
     * Adds an upstream, or restores a removed one.
     *
     * @param name the upstream's name
     * @param slotCount maximum number of concurrent requests
     * @param connectionCount maximum number of connections
     * @param allowance part of these limits that this owner may use
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> addUpstream(
            String name, int slotCount, int connectionCount, SlotAllowance allowance, long nowNs) {
        return update(nowNs, effects -> {
            Upstream upstream = slots.add(name, slotCount, connectionCount);
            slots.setAllowance(upstream, allowance);
            health.added(upstream, nowNs);
        });
    }

    /**
     * Stops dispatching to an upstream because this owner has lost its slice. Attempts in progress continue.
     *
     * @param name the upstream's name
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> removeUpstream(String name, long nowNs) {
        return update(nowNs, effects -> slots.upstream(name).ifPresent(health::removed));
    }

    /**
     * Changes the part of the upstreams' limits that this owner may use.
     *
     * @param names the upstreams' names
     * @param allowance the new allowance
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> setAllowance(Collection<String> names, SlotAllowance allowance, long nowNs) {
        return update(
                nowNs,
                effects -> names.forEach(
                        name -> slots.upstream(name).ifPresent(upstream -> slots.setAllowance(upstream, allowance))));
    }

    /**
     * Adds an upstream whose former owner has failed, or applies a failure that is confirmed after the upstream was
     * added. Slots that the former owner may still use stay reserved until the execution bounds of its requests have
     * passed.
     *
     * @param name the upstream's name
     * @param slotCount maximum number of concurrent requests
     * @param connectionCount maximum number of connections
     * @param allowance part of these limits that this owner may use
     * @param lastDispatchNs latest time at which the former owner may have dispatched a request
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> takeOverUpstream(
            String name, int slotCount, int connectionCount, SlotAllowance allowance, long lastDispatchNs, long nowNs) {
        return update(nowNs, effects -> {
            // Reserves before the first dispatch, which happens under the same locks.
            Upstream upstream = slots.add(name, slotCount, connectionCount);
            slots.reserveForFormerOwner(upstream, lastDispatchNs);
            slots.setAllowance(upstream, allowance);
            health.added(upstream, nowNs);
        });
    }

    /**
     * Replaces the reservations of an upstream by the requests in progress that its former owner reported when it
     * released the upstream.
     *
     * @param name the upstream's name
     * @param running maximum number of requests in progress by kind
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> formerOwnerReleased(String name, Map<String, Integer> running, long nowNs) {
        return update(
                nowNs,
                effects -> slots.upstream(name).ifPresent(upstream -> {
                    slots.clearReservations(upstream);
                    running.forEach((kindName, count) -> {
                        KindQueue kind = queue.kind(kindName).orElse(defaultKind);
                        long untilNs = nowNs + HoldTime.maxHoldNs(kind.contract);
                        slots.reserve(upstream, kind.index, count, untilNs);
                    });
                }));
    }

    /**
     * Records the state of an upstream in the host list.
     *
     * @param name the upstream's name
     * @param live whether the host list reports it as live
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> hostStateChanged(String name, boolean live, long nowNs) {
        return update(
                nowNs,
                effects -> slots.upstream(name).ifPresent(upstream -> health.hostStateChanged(upstream, live, nowNs)));
    }

    /**
     * Records the result of a health probe.
     *
     * @param name the upstream's name
     * @param answered whether the probe succeeded
     * @param closing whether the answer carried {@code Connection: close}
     * @param nowNs current time
     * @return effects to carry out
     */
    public List<PoolEffect> probed(String name, boolean answered, boolean closing, long nowNs) {
        return update(
                nowNs,
                effects ->
                        slots.upstream(name).ifPresent(upstream -> health.probed(upstream, answered, closing, nowNs)));
    }

    /**
     * Returns the connections to the upstreams.
     *
     * @return the connections
     */
    public UpstreamConnections connections() {
        return connections;
    }

    /**
     * Returns the requests in progress at an upstream, including those reserved for former owners. A release reports
     * them to the next owner.
     *
     * @param name the upstream's name
     * @return the number of requests by kind, without zeros
     */
    public Map<String, Integer> runningByKind(String name) {
        return withLocks(() -> slots.upstream(name).map(queue::inProgress).orElse(Map.of()));
    }

    /**
     * Checks again, right before the first byte is written, whether an attempt may be written. Its slot was taken under
     * the allowance at the time of the dispatch, which may have been reduced since.
     *
     * @param attempt the attempt
     * @param currentAllowance part of the upstream's limits that this owner may use now
     * @return whether the slots in use at the upstream, including that of this attempt, are within the allowance
     */
    public boolean isDispatchAllowed(Attempt attempt, SlotAllowance currentAllowance) {
        upstreams.lock();
        try {
            return slots.isWithin(attempt.slot, currentAllowance);
        } finally {
            upstreams.unlock();
        }
    }

    /**
     * Returns the load to report in heartbeats and forwarded answers.
     *
     * @return the current load
     */
    public PoolLoad load() {
        return withLocks(() -> queue.load(contract.service(), slots));
    }

    /**
     * Returns the number of queued and running requests.
     *
     * @return the number of requests
     */
    public int pending() {
        return withLocks(requests::pending);
    }

    private List<PoolEffect> update(long nowNs, Consumer<List<PoolEffect>> action) {
        return withLocks(() -> {
            List<PoolEffect> effects = new ArrayList<>(4);
            action.accept(effects);
            requests.dispatchQueued(nowNs, effects);
            return effects;
        });
    }

    private <T> T withLocks(Supplier<T> action) {
        admission.lock();
        upstreams.lock();
        try {
            return action.get();
        } finally {
            upstreams.unlock();
            admission.unlock();
        }
    }

    private void addNewKinds(ServiceContract newContract) {
        new TreeMap<>(newContract.kinds())
                .values().stream()
                        .filter(kind -> queue.kind(kind.kind()).isEmpty())
                        .forEach(this::addKind);
    }

    private KindQueue addKind(KindContract kind) {
        int index = slots.addKind(HoldTime.limits(kind));
        return queue.add(index, kind);
    }
}
