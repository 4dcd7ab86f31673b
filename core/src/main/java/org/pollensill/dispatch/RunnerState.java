package org.pollensill.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.RunnerClock;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.worker.Resources;

/** One life of a runner in the leader's memory, with the tasks that it holds or may hold. */
final class RunnerState {

    /** Part of its processors that a task that serves is expected to use; it is sized for its own peaks. */
    private static final double SERVING_USE = 0.5;

    final String id;
    long bornMs;
    /** The runner's own description, empty where it is only known from records. */
    Optional<RunnerEntry> entry = Optional.empty();

    boolean listed;
    final Map<TaskName, TaskState> tasks = new LinkedHashMap<>();
    Resources counted = Resources.NONE;
    long fillingMillicores;
    long servingMillicores;
    /** Recent share of the processors by image of tasks that fill. */
    final Map<String, Double> recentShares = new LinkedHashMap<>();

    long sharesAtMs;
    /** Number of tasks that serve, by image. */
    final Map<String, Integer> servingImages = new LinkedHashMap<>();
    /** Slack that is left beside what fills, by serving image; null when it has to be computed anew. */
    Map<String, Double> headroom;

    /** Whether the runner has answered to this leader's fencing token. */
    boolean fenced;

    Optional<RunnerClock> clock = Optional.empty();
    /** Latest end of a lease that this runner may have been granted, on its own clock. */
    long leaseEndMs;

    /** Local time at which leases granted by former leaders have surely expired. */
    long inheritedLapseAtMs;

    boolean holdInFlight;
    long holdSequence;
    long nextHoldAtMs;
    long answeredAtMs;
    int silentHolds;
    long seenEnd;
    long durableEnd;
    long acknowledgedEnd;

    int failures;
    String lastFailedJob = "";
    long setAsideEndMs;
    /** The task by which a runner that failed everything is tried again, null where there is none. */
    TaskState trial;

    long noRoomEndMs;

    RunnerState(String id, long bornMs) {
        this.id = Objects.requireNonNull(id, "id is null");
        this.bornMs = bornMs;
    }

    void add(TaskState task) {
        if (tasks.put(task.name, task) != null) {
            return;
        }
        count(task, 1);
    }

    void remove(TaskState task) {
        if (tasks.remove(task.name) == null) {
            return;
        }
        count(task, -1);
    }

    /** Notes that tasks or measurements have changed. */
    void headroomChanged() {
        headroom = null;
    }

    private void count(TaskState task, int sign) {
        headroomChanged();
        Resources need = task.step.spec.counted();
        counted = sign > 0 ? counted.plus(need) : counted.minus(need);
        if (task.step.spec.is(Trait.FILLS)) {
            long millicores = sign * task.step.spec.need().processorsMillicores();
            fillingMillicores += millicores;
        }
        if (task.serves()) {
            servingImages.merge(task.image(), sign, Integer::sum);
            servingImages.values().removeIf(count -> count <= 0);
            servingMillicores += sign * need.processorsMillicores();
        }
    }

    int serving() {
        return servingImages.size();
    }

    Resources capacity() {
        return entry.map(RunnerEntry::capacity).orElse(Resources.NONE);
    }

    boolean draining() {
        return entry.map(RunnerEntry::draining).orElse(false);
    }

    Optional<RunnerAddress> address() {
        return entry.map(found -> new RunnerAddress(id, found.address()));
    }

    /** Returns whether the runner has answered this leader, its last hold included. */
    boolean answers() {
        return fenced && clock.isPresent() && silentHolds == 0;
    }

    boolean accepts(long nowMs) {
        return listed && fenced && silentHolds == 0 && !draining() && nowMs >= setAsideEndMs && nowMs >= noRoomEndMs;
    }

    /** Returns whether the runner failed everything and a task that tries it again is still on its way. */
    boolean onTrial() {
        return failures >= RunnerHealth.FAILURES_TO_SET_ASIDE && trial != null && trial.runner == this;
    }

    /** Returns the processors that neither counted tasks nor tasks that fill are expected to use. */
    long idleMillicores() {
        return capacity().processorsMillicores()
                - counted.processorsMillicores()
                + (long) (servingMillicores * (1 - SERVING_USE))
                - fillingMillicores;
    }

    /** Returns the local time at which nothing that was ordered can run any more, unless a hold extends the lease. */
    long lapsedAtMs() {
        if (!fenced || clock.isEmpty()) {
            return inheritedLapseAtMs;
        }
        return clock.get().surelyPassedAtMs(leaseEndMs) + DispatchTiming.MARGIN_MS;
    }

    void grantUntil(long untilMs) {
        leaseEndMs = Math.max(leaseEndMs, untilMs);
    }

    /** Forgets what belonged to the runner's former life. Its tasks must have been released. */
    void beginLife(long newBornMs) {
        bornMs = newBornMs;
        fenced = false;
        clock = Optional.empty();
        leaseEndMs = 0;
        inheritedLapseAtMs = 0;
        seenEnd = 0;
        durableEnd = 0;
        acknowledgedEnd = 0;
        failures = 0;
        trial = null;
        setAsideEndMs = 0;
        noRoomEndMs = 0;
        nextHoldAtMs = 0;
        silentHolds = 0;
    }
}
