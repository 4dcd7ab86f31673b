package org.pollensill.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records the attempts that ran on workers and checks the guarantees of the scheduler at each start. */
final class GuaranteeChecker {

    final Map<String, Double> checkpoints = new HashMap<>();
    final Set<TaskId> finished = new HashSet<>();
    final Set<String> cancelled = new HashSet<>();
    final List<String> trace = new ArrayList<>();
    private final FakeStore store;
    int starts;
    int resumes;
    private final Map<TaskId, String> runningOn = new HashMap<>();
    private final Map<TaskId, List<String>> checkpointsOf = new HashMap<>();
    private final Map<TaskId, String> acknowledgedCheckpoints = new HashMap<>();
    private final Map<String, Integer> resumedByAttempt = new HashMap<>();
    private final Map<String, FakeWorker> finishedOn = new HashMap<>();
    private final Map<String, Long> finishedNs = new HashMap<>();
    private final Set<String> endedAttempts = new HashSet<>();

    GuaranteeChecker(FakeStore store) {
        this.store = store;
    }

    double started(String worker, WorkerCall.Start start) {
        starts++;
        addTrace(start.task() + "#" + start.attempt() + " starts on " + worker + " at epoch " + start.epoch());
        String otherWorker = runningOn.put(start.task(), worker);
        check(otherWorker == null, start.task() + " runs on " + otherWorker + " and on " + worker);
        check(!cancelled.contains(start.task().jobId()), start.task() + " starts after an acknowledged cancel");
        List<String> checkpointIds = checkpointsOf.getOrDefault(start.task(), List.of());
        int latest = checkpointIds.indexOf(acknowledgedCheckpoints.getOrDefault(start.task(), ""));
        check(
                checkpointIds.indexOf(start.resumeFrom()) >= latest,
                start.task() + " resumes from '" + start.resumeFrom() + "', but the acknowledged checkpoint is "
                        + acknowledgedCheckpoints.get(start.task()));
        if (start.resumeFrom().isEmpty()) {
            return 0;
        }
        resumes++;
        Integer earlierAttempt = resumedByAttempt.put(start.resumeFrom(), start.attempt());
        check(
                earlierAttempt == null || isResultLost(start.task() + "#" + earlierAttempt),
                "checkpoint " + start.resumeFrom() + " is resumed twice");
        check(checkpoints.containsKey(start.resumeFrom()), "checkpoint " + start.resumeFrom() + " does not exist");
        return checkpoints.get(start.resumeFrom());
    }

    void ended(FakeWorker worker, WorkerCall.Start start, WorkerReport.State state, long nowNs) {
        addTrace(start.task() + "#" + start.attempt() + " ends on " + worker.name + ": " + state);
        runningOn.remove(start.task(), worker.name);
        if (state == WorkerReport.State.FINISHED) {
            finishedOn.put(start.task() + "#" + start.attempt(), worker);
            finishedNs.put(start.task() + "#" + start.attempt(), nowNs);
            finished.add(start.task());
        } else {
            endedAttempts.add(start.task() + "#" + start.attempt());
        }
    }

    /** Returns whether an attempt ended without a result that can have reached its owner. */
    private boolean isResultLost(String attempt) {
        FakeWorker worker = finishedOn.get(attempt);
        return endedAttempts.contains(attempt) || worker != null && worker.wasUnreachableSince(finishedNs.get(attempt));
    }

    /**
     * Records an attempt whose worker stopped. A result that was not acknowledged is lost with the worker, so the task
     * may run again.
     */
    void resultLost(WorkerCall.Start start) {
        endedAttempts.add(start.task() + "#" + start.attempt());
    }

    /** Records an acknowledged checkpoint. It is durable in the log, so the task must resume from it or a later one. */
    void acknowledged(WorkerCall.Start start, WorkerReport.State state, String checkpointId) {
        // An attempt that was superseded before its report arrived is acknowledged without its checkpoint.
        boolean superseded = store.placedAttempts.contains(start.task() + "#" + (start.attempt() + 1));
        if (state == WorkerReport.State.CHECKPOINTED && !superseded) {
            acknowledgedCheckpoints.put(start.task(), checkpointId);
        }
    }

    void checkpointed(WorkerCall.Start start, String checkpointId, double progressMs) {
        checkpoints.put(checkpointId, progressMs);
        checkpointsOf.computeIfAbsent(start.task(), task -> new ArrayList<>()).add(checkpointId);
    }

    void addTrace(String entry) {
        trace.add(entry);
    }

    void check(boolean holds, String violation) {
        if (!holds) {
            int from = Math.max(0, trace.size() - 80);
            throw new AssertionError(violation + "\n" + String.join("\n", trace.subList(from, trace.size())));
        }
    }
}
