package org.pollensill.contract;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Queued requests of one kind, dispatched round-robin by caller, so that a caller with many requests delays only its
 * own. Guarded by the {@code admission} lock.
 */
final class KindQueue {

    /** Index of the kind in the slot table. */
    final int index;

    final ServiceTime serviceTime = new ServiceTime();
    KindContract contract;

    /** Slots that the kind holds or is guaranteed, as of the last update; read without the {@code upstreams} lock. */
    double attainableSlots;

    /** Smoothed number of slots that the kind's requests hold or are queued for. */
    double demandSlots;

    /** Slots that the kind keeps free for the guarantees of other kinds once its own guarantee is filled. */
    double headroomSlots;

    private final Map<String, CallerQueue> callers = new LinkedHashMap<>();
    private int queued;

    KindQueue(int index, KindContract contract) {
        this.index = index;
        this.contract = Objects.requireNonNull(contract, "contract is null");
    }

    int queued() {
        return queued;
    }

    /** Returns the number of queued requests that are dispatched before a new request of the caller. */
    int requestsAhead(String caller) {
        CallerQueue ownQueue = callers.get(caller);
        // Each round dispatches one request of every caller.
        long rounds = ownQueue == null ? 1 : ownQueue.size() + 1L;
        return (int) Math.min(queued, rounds * Math.max(1, callers.size()));
    }

    /** Returns the expected wait of a request behind the given number of queued requests. */
    long expectedWaitNs(int requestsAhead) {
        return (long) ((requestsAhead + 1) * serviceTime.meanNs() / Math.max(1, attainableSlots));
    }

    /** Returns whether the caller may add to a full queue by evicting a request of a caller above its share. */
    boolean isBelowFairShare(String caller) {
        CallerQueue ownQueue = callers.get(caller);
        int callerCount = callers.size() + (ownQueue == null ? 1 : 0);
        return (ownQueue == null ? 0 : ownQueue.size()) + 1 <= contract.queueLimit() / callerCount;
    }

    /**
     * Returns the newest request of a caller above its share of a full queue. While {@code caller} is below its share,
     * such a caller exists, because the other callers then exceed their shares on average.
     */
    Optional<PendingRequest> evictionCandidate(String caller) {
        int share = contract.queueLimit() / (callers.size() + (callers.containsKey(caller) ? 0 : 1));
        for (CallerQueue queue : callers.values()) {
            if (queue.size() > share) {
                return Optional.of(queue.last());
            }
        }
        return Optional.empty();
    }

    void addLast(PendingRequest request) {
        callerQueue(request).addLast(request);
        queued++;
    }

    /** Puts a request that is to be dispatched again at the front of its caller's queue. */
    void addFirst(PendingRequest request) {
        callerQueue(request).addFirst(request);
        queued++;
    }

    void remove(PendingRequest request) {
        CallerQueue queue = request.callerQueue;
        if (queue == null) {
            return;
        }
        queue.remove(request);
        queued--;
        if (queue.size() == 0) {
            callers.remove(queue.caller);
        }
    }

    /** Removes and returns the oldest request of the caller that is next in the rotation. */
    Optional<PendingRequest> poll() {
        Iterator<CallerQueue> rotation = callers.values().iterator();
        if (!rotation.hasNext()) {
            return Optional.empty();
        }
        CallerQueue queue = rotation.next();
        PendingRequest request = queue.first();
        rotation.remove();
        queue.remove(request);
        queued--;
        if (queue.size() > 0) {
            callers.put(queue.caller, queue);
        }
        return Optional.of(request);
    }

    private CallerQueue callerQueue(PendingRequest request) {
        return callers.computeIfAbsent(request.description.caller(), CallerQueue::new);
    }
}
