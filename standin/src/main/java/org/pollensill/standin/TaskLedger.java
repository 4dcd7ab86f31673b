package org.pollensill.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Records the tasks that workers ran, and counts violations of guarantees, which must stay at zero. */
final class TaskLedger {

    private final Map<String, Set<String>> workersByTask = new HashMap<>();
    private final Set<String> finished = new HashSet<>();
    private final Set<String> expectedTasks = new HashSet<>();
    private final Map<String, Long> checkpointProgressMs = new HashMap<>();
    // By checkpoint: the last attempt that resumed from it. Until it has ended unfinished, no other attempt may resume.
    private final Map<String, String> resumedAttempts = new HashMap<>();
    private final Set<String> endedAttempts = new HashSet<>();
    private long starts;
    private long failures;
    private long checkpoints;
    private long tasksRunningTwice;
    private long tasksFinishedTwice;
    private long resumedTwice;

    /** Records a start and returns the progress from which the task resumes. */
    synchronized long started(String worker, String task, int attempt, String resumeFrom) {
        starts++;
        Set<String> workers = workersByTask.computeIfAbsent(task, key -> new HashSet<>());
        workers.add(worker);
        if (workers.size() > 1) {
            tasksRunningTwice++;
        }
        if (resumeFrom.isEmpty()) {
            return 0;
        }
        String attemptKey = task + "#" + attempt;
        String previousKey = resumedAttempts.put(resumeFrom, attemptKey);
        if (previousKey != null && !previousKey.equals(attemptKey) && !endedAttempts.contains(previousKey)) {
            resumedTwice++;
        }
        return checkpointProgressMs.getOrDefault(resumeFrom, 0L);
    }

    /** Records the end of an attempt. Another attempt may resume from its checkpoint only if it ended unfinished. */
    synchronized void ended(String worker, String task, int attempt, String state) {
        Set<String> workers = workersByTask.get(task);
        if (workers != null && workers.remove(worker) && workers.isEmpty()) {
            workersByTask.remove(task);
        }
        if (state.equals("finished")) {
            if (!finished.add(task)) {
                tasksFinishedTwice++;
            }
            return;
        }
        endedAttempts.add(task + "#" + attempt);
        if (state.equals("failed")) {
            failures++;
        }
    }

    synchronized void checkpointed(String checkpointId, long progressMs) {
        checkpoints++;
        checkpointProgressMs.put(checkpointId, progressMs);
    }

    /** Adds tasks whose submission was acknowledged; those that neither run nor have finished count as lost. */
    synchronized void expect(Iterable<String> tasks) {
        tasks.forEach(expectedTasks::add);
    }

    synchronized Map<String, Object> snapshot() {
        long lost = expectedTasks.stream()
                .filter(task -> !finished.contains(task) && !workersByTask.containsKey(task))
                .count();
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("taskStarts", starts);
        result.put("tasksRunning", workersByTask.size());
        result.put("tasksFinished", finished.size());
        result.put("taskFailures", failures);
        result.put("taskCheckpoints", checkpoints);
        result.put("tasksRunningTwice", tasksRunningTwice);
        result.put("tasksFinishedTwice", tasksFinishedTwice);
        result.put("resumedTwice", resumedTwice);
        result.put("tasksLost", lost);
        return result;
    }
}
