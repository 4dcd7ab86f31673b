package org.pollensill.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.pollensill.platform.Host;
import org.pollensill.worker.Resources;
import org.pollensill.worker.Worker;

/** The workers of a shard, with reservations and the number of tasks by job and rack. */
public final class WorkerPool {

    private final Map<String, Worker> byName = new HashMap<>();
    private final Map<String, Map<String, Integer>> rackCountsByJob = new HashMap<>();
    private final Map<String, Long> reservedUntilNs = new HashMap<>();
    private List<Worker> workers = new ArrayList<>();
    private int sharePercent = 100;

    private WorkerPool() {}

    /**
     * Returns a pool without workers.
     *
     * @return the pool
     */
    public static WorkerPool empty() {
        return new WorkerPool();
    }

    /**
     * Adds a worker.
     *
     * @param worker the worker
     */
    public void add(Worker worker) {
        if (byName.putIfAbsent(worker.name(), worker) == null) {
            workers.add(worker);
            worker.capacity().limitTo(worker.capacity().total().percent(sharePercent));
        }
    }

    /**
     * Updates the pool from the host list. Workers that are no longer listed stay while a task may run on them.
     *
     * @param hosts the workers of the shard
     */
    public void update(List<Host> hosts) {
        Set<String> listedNames = new HashSet<>();
        for (Host host : hosts) {
            listedNames.add(host.name());
            Worker existing = byName.get(host.name());
            if (existing == null) {
                add(Worker.of(host));
            } else {
                existing.updateFrom(host);
                existing.capacity().limitTo(existing.capacity().total().percent(sharePercent));
            }
        }
        List<Worker> kept = new ArrayList<>();
        for (Worker worker : workers) {
            if (!listedNames.contains(worker.name())) {
                worker.markUnlisted();
                if (worker.capacity().holders() == 0) {
                    byName.remove(worker.name());
                    continue;
                }
            }
            kept.add(worker);
        }
        workers = kept;
    }

    /**
     * Limits batch tasks to a share of each worker.
     *
     * @param percent the share
     */
    public void limitTo(int percent) {
        sharePercent = percent;
        for (Worker worker : workers) {
            worker.capacity().limitTo(worker.capacity().total().percent(percent));
        }
    }

    /**
     * Reserves a worker for urgent tasks while capacity for one is freed on it.
     *
     * @param worker the worker
     * @param untilNs end of the reservation in monotonic time
     */
    public void reserveForUrgent(Worker worker, long untilNs) {
        reservedUntilNs.put(worker.name(), untilNs);
    }

    /**
     * Returns whether a worker can take a task now.
     *
     * @param worker the worker
     * @param request the task
     * @return whether it can
     */
    public boolean accepts(Worker worker, PlacementRequest request) {
        if (!worker.accepts(request.size(), request.nowNs())
                || request.avoided().contains(worker.name())) {
            return false;
        }
        Long untilNs = reservedUntilNs.get(worker.name());
        return request.urgent() || untilNs == null || request.nowNs() - untilNs >= 0;
    }

    /**
     * Returns a worker.
     *
     * @param name its name
     * @return the worker, empty if it is not in the pool
     */
    public Optional<Worker> worker(String name) {
        return Optional.ofNullable(byName.get(Objects.requireNonNull(name, "name is null")));
    }

    /**
     * Returns all workers in a stable order.
     *
     * @return the workers
     */
    public List<Worker> workers() {
        return workers;
    }

    /**
     * Returns the sum of the workers' limits.
     *
     * @return the total capacity for batch tasks
     */
    public Resources limit() {
        Resources sum = Resources.NONE;
        for (Worker worker : workers) {
            sum = sum.plus(worker.capacity().limit());
        }
        return sum;
    }

    /**
     * Returns whether an empty worker could hold a size within its current batch limit.
     *
     * @param size the size
     * @return whether one could
     */
    public boolean fitsLimit(Resources size) {
        return workers.stream().anyMatch(worker -> size.fitsIn(worker.capacity().limit()));
    }

    /**
     * Returns whether an empty worker could hold a size if its whole capacity were available to batch tasks.
     *
     * @param size the size
     * @return whether one could
     */
    public boolean fitsHost(Resources size) {
        return workers.stream().anyMatch(worker -> size.fitsIn(worker.capacity().total()));
    }

    /**
     * Counts a placed task on a worker.
     *
     * @param worker the worker
     * @param jobId the task's job
     * @param kind the task's kind
     */
    public void placed(Worker worker, String jobId, String kind) {
        worker.addTaskOfKind(kind);
        rackCountsByJob.computeIfAbsent(jobId, id -> new HashMap<>()).merge(worker.rack(), 1, Integer::sum);
    }

    /**
     * Removes a task from the count of its worker.
     *
     * @param worker the worker
     * @param jobId the task's job
     * @param kind the task's kind
     */
    public void unplaced(Worker worker, String jobId, String kind) {
        worker.removeTaskOfKind(kind);
        rackCountsByJob.computeIfPresent(jobId, (id, racks) -> {
            racks.computeIfPresent(worker.rack(), (rack, count) -> count == 1 ? null : count - 1);
            return racks.isEmpty() ? null : racks;
        });
    }

    /**
     * Returns the number of tasks of a job on a rack.
     *
     * @param jobId the job
     * @param rack the rack
     * @return the number of tasks
     */
    public int tasksOnRack(String jobId, String rack) {
        return rackCountsByJob.getOrDefault(jobId, Map.of()).getOrDefault(rack, 0);
    }
}
