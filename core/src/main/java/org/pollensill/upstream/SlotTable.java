package org.pollensill.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Slots and connections of the upstreams of one service that this process owns. {@link #take} is the only way to get a
 * slot, and grants none beyond the limits. Not thread-safe; guarded by the {@code upstreams} lock.
 */
public final class SlotTable {

    private final List<KindSlots> kinds = new ArrayList<>();
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final PriorityQueue<Slot> awaitingBound =
            new PriorityQueue<>((a, b) -> Long.compare(a.executionEndNs - b.executionEndNs, 0));
    private final Reservations reservations = new Reservations();
    private int used;
    private int free;
    private int owned;
    private int accepting;

    private SlotTable() {}

    /**
     * Returns an empty table.
     *
     * @param kinds limits of the kinds, whose indexes are their positions in the list
     * @return the table
     */
    public static SlotTable of(List<KindLimits> kinds) {
        SlotTable table = new SlotTable();
        kinds.forEach(table::addKind);
        return table;
    }

    /**
     * Adds a kind.
     *
     * @param limits the kind's limits
     * @return the kind's index
     */
    public int addKind(KindLimits limits) {
        int kind = kinds.size();
        kinds.add(new KindSlots(kind, limits));
        for (Upstream upstream : upstreams.values()) {
            upstream.resizeKinds(kinds.size());
            updateFree(upstream);
        }
        return kind;
    }

    /**
     * Changes a kind's limits. Requests in progress keep their slots.
     *
     * @param kind the kind's index
     * @param limits the new limits
     */
    public void changeKind(int kind, KindLimits limits) {
        kinds.get(kind).limits = Objects.requireNonNull(limits, "limits is null");
        upstreams.values().forEach(this::updateFree);
    }

    /**
     * Adds an upstream, or restores a removed one together with the slots that are still taken.
     *
     * @param name the upstream's name
     * @param slots requests that it runs concurrently
     * @param connections connections that it accepts, one of which is kept for probes
     * @return the upstream
     * @throws IllegalArgumentException if {@code slots} is less than 1 or {@code connections} is less than 2
     */
    public Upstream add(String name, int slots, int connections) {
        Objects.requireNonNull(name, "name is null");
        if (slots < 1 || connections < 2) {
            throw new IllegalArgumentException(
                    "slots or connections of " + name + " is too small: " + slots + ", " + connections);
        }
        Upstream existing = upstreams.get(name);
        if (existing != null) {
            if (existing.state == UpstreamState.REMOVED) {
                owned++;
                setState(existing, UpstreamState.LIVE, existing.slots, existing.stateSinceNs);
            }
            return existing;
        }
        Upstream upstream = new Upstream(name, Math.min(slots, connections - 1), kinds.size());
        upstreams.put(name, upstream);
        owned++;
        updateFree(upstream);
        return upstream;
    }

    /**
     * Removes an upstream. It stays in the table as removed until its slots and connections are free.
     *
     * @param upstream the upstream
     */
    public void remove(Upstream upstream) {
        if (upstream.state == UpstreamState.REMOVED) {
            return;
        }
        owned--;
        setState(upstream, UpstreamState.REMOVED, upstream.slots, upstream.stateSinceNs);
        removeIfIdle(upstream);
    }

    /**
     * Returns an upstream.
     *
     * @param name the name
     * @return the upstream, empty if the table has none of that name
     */
    public Optional<Upstream> upstream(String name) {
        return Optional.ofNullable(upstreams.get(name));
    }

    /**
     * Returns all upstreams, including removed ones that still have slots or connections taken.
     *
     * @return an unmodifiable view of the upstreams
     */
    public Collection<Upstream> upstreams() {
        return Collections.unmodifiableCollection(upstreams.values());
    }

    /**
     * Returns the upstreams that have a free slot for a kind.
     *
     * @param kind the kind's index
     * @return the upstreams
     */
    public UpstreamSet usable(int kind) {
        return kinds.get(kind).usable;
    }

    /**
     * Returns the number of slots that requests of a kind may take now.
     *
     * @param kind the kind's index
     * @return the number of slots
     */
    public int free(int kind) {
        return kinds.get(kind).free;
    }

    /**
     * Returns the number of slots that requests may take now.
     *
     * @return the number of slots
     */
    public int free() {
        return free;
    }

    /**
     * Returns the number of slots that requests of a kind hold.
     *
     * @param kind the kind's index
     * @return the number of slots
     */
    public int used(int kind) {
        return kinds.get(kind).used;
    }

    /**
     * Returns the number of upstreams that are owned.
     *
     * @return the number of upstreams, without removed ones
     */
    public int owned() {
        return owned;
    }

    /**
     * Returns the number of upstreams that accept new requests, now or once they have a free slot.
     *
     * @return the number of upstreams
     */
    public int accepting() {
        return accepting;
    }

    /**
     * Returns the number of slots that requests hold or may take, which the kinds' shares refer to.
     *
     * @return the number of slots
     */
    public int total() {
        return used + free;
    }

    /**
     * Takes a slot.
     *
     * @param upstream the upstream
     * @param kind the kind's index
     * @param nowNs the current monotonic time
     * @return the slot, empty if a limit permits none
     */
    public Optional<Slot> take(Upstream upstream, int kind, long nowNs) {
        if (upstream.freeByKind[kind] <= 0) {
            return Optional.empty();
        }
        adjustUsed(upstream, kind, 1);
        return Optional.of(
                new Slot(upstream, kind, nowNs, kinds.get(kind).limits.executionBoundNs()));
    }

    /**
     * Frees a slot whose request has definitely ended: its answer is complete, it was refused, or it was never written.
     * Freeing a slot again has no effect.
     *
     * @param slot the slot
     */
    public void release(Slot slot) {
        if (!slot.held) {
            return;
        }
        slot.held = false;
        adjustUsed(slot.upstream(), slot.kind(), -1);
        removeIfIdle(slot.upstream());
    }

    /**
     * Frees a slot whose connection closed before the answer was complete, as soon as the execution bound since the
     * dispatch has passed. Until then the upstream may still be working on the request.
     *
     * @param slot the slot
     * @param nowNs the current monotonic time
     */
    public void releaseAfterExecutionBound(Slot slot, long nowNs) {
        if (!slot.held) {
            return;
        }
        if (slot.executionEndNs - nowNs <= 0) {
            release(slot);
            return;
        }
        awaitingBound.add(slot);
    }

    /**
     * Reserves slots of a kind for former owners. A second reservation extends the first rather than adding to it,
     * since each of them covers everything that other processes may have in progress.
     *
     * @param upstream the upstream
     * @param kind the kind's index
     * @param count the maximum number of slots in progress
     * @param untilNs time from which they are definitely free
     */
    public void reserve(Upstream upstream, int kind, int count, long untilNs) {
        reservations.reserve(upstream, kind, count, untilNs);
        updateFree(upstream);
    }

    /**
     * Reserves slots for a lost owner: for each kind the maximum that it may have used, until the kind's execution
     * bound has passed since the owner's last possible dispatch.
     *
     * @param upstream the upstream
     * @param lastDispatchNs latest time at which the former owner may have dispatched a request
     */
    public void reserveForFormerOwner(Upstream upstream, long lastDispatchNs) {
        for (int kind = 0; kind < kinds.size(); kind++) {
            KindLimits limits = kinds.get(kind).limits;
            reserve(
                    upstream,
                    kind,
                    Math.min(limits.slotsPerUpstreamCap(), upstream.slots),
                    lastDispatchNs + limits.executionBoundNs());
        }
    }

    /**
     * Ends all reservations of an upstream, as when the former owner has reported its requests in progress.
     *
     * @param upstream the upstream
     */
    public void clearReservations(Upstream upstream) {
        reservations.clear(upstream);
        updateFree(upstream);
    }

    /**
     * Returns whether the slots taken at a slot's upstream are within a part of the limits of that upstream and of the
     * slot's kind.
     *
     * @param slot the slot
     * @param allowance the part
     * @return whether they are; always false for {@link SlotAllowance#NONE}
     */
    public boolean isWithin(Slot slot, SlotAllowance allowance) {
        int cap = kinds.get(slot.kind()).limits.slotsPerUpstreamCap();
        return slot.upstream().isWithin(slot.kind(), cap, allowance);
    }

    /**
     * Changes the part of an upstream's limits that this owner may use.
     *
     * @param upstream the upstream
     * @param allowance the part
     */
    public void setAllowance(Upstream upstream, SlotAllowance allowance) {
        upstream.allowance = Objects.requireNonNull(allowance, "allowance is null");
        updateFree(upstream);
    }

    void setState(Upstream upstream, UpstreamState state, int stateSlots, long nowNs) {
        upstream.state = state;
        upstream.stateSlots = Math.min(stateSlots, upstream.slots);
        upstream.stateSinceNs = nowNs;
        updateFree(upstream);
    }

    /** Counts a connection for requests as about to be opened; returns false if it may not be opened. */
    boolean openConnection(Upstream upstream) {
        boolean allowed = upstream.allowance != SlotAllowance.NONE && upstream.connections < upstream.slots;
        upstream.connections += allowed ? 1 : 0;
        return allowed;
    }

    /** Counts a connection for requests as closed. */
    void closeConnection(Upstream upstream) {
        upstream.connections = Math.max(0, upstream.connections - 1);
        removeIfIdle(upstream);
    }

    /** Counts the connection for probes as about to be opened or as closed; returns false if it may not be opened. */
    boolean setProbeConnection(Upstream upstream, boolean open) {
        if (open && (upstream.probeConnection || upstream.allowance == SlotAllowance.NONE)) {
            return false;
        }
        upstream.probeConnection = open;
        removeIfIdle(upstream);
        return true;
    }

    /**
     * Frees slots whose execution bound has passed and ends reservations that have expired.
     *
     * @param nowNs the current monotonic time
     */
    public void tick(long nowNs) {
        while (!awaitingBound.isEmpty() && awaitingBound.peek().executionEndNs - nowNs <= 0) {
            release(awaitingBound.poll());
        }
        reservations.expire(nowNs, upstream -> {
            updateFree(upstream);
            removeIfIdle(upstream);
        });
    }

    private void adjustUsed(Upstream upstream, int kind, int difference) {
        used += difference;
        upstream.used += difference;
        upstream.usedByKind[kind] += difference;
        kinds.get(kind).used += difference;
        updateFree(upstream);
    }

    private void removeIfIdle(Upstream upstream) {
        if (upstream.state == UpstreamState.REMOVED && upstream.isIdle()) {
            upstreams.remove(upstream.name(), upstream);
        }
    }

    /** Recomputes the free slots of an upstream and the totals and sets that depend on them. */
    private void updateFree(Upstream upstream) {
        boolean accepts = upstream.isInUse() && upstream.allowance != SlotAllowance.NONE;
        if (accepts != upstream.accepting) {
            upstream.accepting = accepts;
            accepting += accepts ? 1 : -1;
        }
        int upstreamFree = 0;
        if (upstream.isInUse()) {
            upstreamFree = upstream.allowance.free(upstream.slots, upstream.used, upstream.reserved());
            upstreamFree = Math.max(0, Math.min(upstreamFree, upstream.stateSlots - upstream.used));
        }
        free += upstreamFree - upstream.free;
        upstream.free = upstreamFree;
        for (int kind = 0; kind < kinds.size(); kind++) {
            KindSlots slots = kinds.get(kind);
            int cap = Math.min(slots.limits.slotsPerUpstreamCap(), upstream.slots);
            int kindFree = upstream.allowance.free(cap, upstream.usedByKind[kind], upstream.reservedByKind[kind]);
            kindFree = Math.max(0, Math.min(upstreamFree, kindFree));
            slots.free += kindFree - upstream.freeByKind[kind];
            upstream.freeByKind[kind] = kindFree;
            slots.usable.setMember(upstream, kindFree > 0);
        }
    }
}
