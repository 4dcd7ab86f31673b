package org.pollensill.worker;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.platform.Host;

/** A machine that runs batch tasks, with the state that its shard's owner keeps of it. */
public final class Worker {

    private final String name;
    private final Capacity capacity;
    private final Quarantine quarantine = Quarantine.empty();
    private final Map<String, Integer> kinds = new HashMap<>();
    private String address;
    private String rack;
    private boolean leaving;
    private boolean listed = true;
    private Optional<WorkerClock> clock = Optional.empty();
    private long epoch;
    private int latencyPercent;
    private String latencyCriticalKind = "";
    private LoadBand band = LoadBand.LOW;

    private Worker(String name, String address, String rack, Resources total) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.address = Objects.requireNonNull(address, "address is null");
        this.rack = Objects.requireNonNull(rack, "rack is null");
        this.capacity = Capacity.of(total);
    }

    /**
     * Returns an empty worker.
     *
     * @param name its name
     * @param address IP address and port
     * @param rack its rack
     * @param total the host's total resources
     * @return the worker
     */
    public static Worker of(String name, String address, String rack, Resources total) {
        return new Worker(name, address, rack, total);
    }

    /**
     * Returns an empty worker for an entry of the host list.
     *
     * @param host the entry
     * @return the worker
     */
    public static Worker of(Host host) {
        Worker worker = of(host.name(), host.address(), host.rack(), Resources.NONE);
        worker.updateFrom(host);
        return worker;
    }

    /**
     * Updates the worker from its entry in the host list.
     *
     * @param host the entry
     */
    public void updateFrom(Host host) {
        address = host.address();
        rack = host.rack();
        capacity.resize(new Resources(host.processorsMillicores(), host.memoryBytes(), host.accelerators()));
        leaving = host.state() == Host.State.LEAVING;
        listed = true;
    }

    /** Marks the worker as missing from the host list. It gets no new tasks. */
    public void markUnlisted() {
        listed = false;
    }

    /**
     * Records a reading of the worker's clock and the epoch that it has accepted.
     *
     * @param readingMs the reading
     * @param acceptedEpoch the epoch
     * @param nowNs local monotonic time of receipt
     * @return whether the worker has restarted, as its clock or accepted epoch went back
     */
    public boolean updateClock(long readingMs, long acceptedEpoch, long nowNs) {
        boolean restarted = clock.isPresent() && (readingMs < clock.get().readingMs() || acceptedEpoch < epoch);
        clock = Optional.of(new WorkerClock(readingMs, nowNs));
        epoch = acceptedEpoch;
        return restarted;
    }

    /**
     * Updates the latency-critical load of the worker.
     *
     * @param kind the latency-critical kind, empty for none
     * @param loadPercent the latency-critical load in percent of its slots
     * @param newLatencyPercent the latency in percent of its bound
     */
    public void updateLatencyCriticalLoad(String kind, int loadPercent, int newLatencyPercent) {
        latencyPercent = newLatencyPercent;
        latencyCriticalKind = Objects.requireNonNull(kind, "kind is null");
        band = LoadBand.of(loadPercent);
    }

    /**
     * Adds a task to the count of its batch kind on the worker.
     *
     * @param kind the batch kind
     */
    public void addTaskOfKind(String kind) {
        kinds.merge(kind, 1, Integer::sum);
    }

    /**
     * Removes a task from the count of its batch kind on the worker.
     *
     * @param kind the batch kind
     */
    public void removeTaskOfKind(String kind) {
        kinds.computeIfPresent(kind, (batchKind, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Returns whether the worker may get new tasks at all.
     *
     * @param nowNs local monotonic time
     * @return false while it is leaving, unlisted, has not reported yet or is quarantined
     */
    public boolean admits(long nowNs) {
        return listed && !leaving && clock.isPresent() && quarantine.admits(nowNs, capacity.holders());
    }

    /**
     * Returns whether the worker can take a task now.
     *
     * @param size the task's size
     * @param nowNs local monotonic time
     * @return whether the task fits and the worker may get new tasks
     */
    public boolean accepts(Resources size, long nowNs) {
        return size.fitsIn(capacity.free()) && admits(nowNs);
    }

    /**
     * Returns the name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the address.
     *
     * @return IP address and port
     */
    public String address() {
        return address;
    }

    /**
     * Returns the rack.
     *
     * @return the rack
     */
    public String rack() {
        return rack;
    }

    /**
     * Returns the capacity.
     *
     * @return the capacity
     */
    public Capacity capacity() {
        return capacity;
    }

    /**
     * Returns the quarantine.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        return quarantine;
    }

    /**
     * Returns the last clock reading.
     *
     * @return the reading, empty before the first report
     */
    public Optional<WorkerClock> clock() {
        return clock;
    }

    /**
     * Returns the epoch that the worker has accepted.
     *
     * @return the epoch
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns whether the worker is draining before it leaves.
     *
     * @return whether it is leaving
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns the number of tasks on the worker by batch kind.
     *
     * @return the numbers of tasks
     */
    public Map<String, Integer> kinds() {
        return Map.copyOf(kinds);
    }

    /**
     * Returns the latency-critical kind that the worker serves.
     *
     * @return the kind, empty for none
     */
    public String latencyCriticalKind() {
        return latencyCriticalKind;
    }

    /**
     * Returns the latency of the latency-critical kind.
     *
     * @return the latency in percent of its bound, 0 if unknown
     */
    public int latencyPercent() {
        return latencyPercent;
    }

    /**
     * Returns the band of the latency-critical load.
     *
     * @return the band
     */
    public LoadBand band() {
        return band;
    }
}
