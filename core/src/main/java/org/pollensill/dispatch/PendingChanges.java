package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Collects pending changes until the next commit takes them. */
final class PendingChanges {

    /** Maximum number of jobs in one commit; a transaction holds at most 100 entries. */
    private static final int MAX_JOBS_PER_COMMIT = 80;

    private final String keyPrefix;
    private final Set<JobState> changed = new LinkedHashSet<>();
    private final List<Batch.Placement> placements = new ArrayList<>();
    private final Map<RunnerState, Long> ends = new LinkedHashMap<>();

    PendingChanges(String keyPrefix) {
        this.keyPrefix = keyPrefix;
    }

    void changed(JobState job) {
        changed.add(job);
    }

    void placed(TaskState task) {
        placements.add(new Batch.Placement(task, task.run));
        changed.add(task.step.job);
    }

    void ended(RunnerState runner, long number) {
        ends.merge(runner, number, Math::max);
    }

    /** Takes the next batch; ended runs stay pending until all the changes that they caused fit into it. */
    Optional<Batch> take() {
        if (changed.isEmpty()) {
            return Optional.empty();
        }
        Batch batch = new Batch();
        Iterator<JobState> jobs = changed.iterator();
        while (jobs.hasNext() && batch.statuses().size() < MAX_JOBS_PER_COMMIT) {
            JobState job = jobs.next();
            batch.add(job, keyPrefix + job.request.id());
            jobs.remove();
        }
        Iterator<Batch.Placement> placed = placements.iterator();
        while (placed.hasNext()) {
            Batch.Placement placement = placed.next();
            if (batch.statuses().containsKey(placement.task().step.job)) {
                batch.placements().add(placement);
                placed.remove();
            }
        }
        if (changed.isEmpty()) {
            batch.ends().putAll(ends);
            ends.clear();
        }
        return Optional.of(batch);
    }

    /** Takes the ended runs that caused no changes, so that they can be acknowledged without a commit. */
    Map<RunnerState, Long> takeEndsWithoutChanges() {
        if (!changed.isEmpty() || ends.isEmpty()) {
            return Map.of();
        }
        Map<RunnerState, Long> settled = new LinkedHashMap<>(ends);
        ends.clear();
        return settled;
    }

    /** Restores the changes of a batch that was certainly not written. */
    void restore(Batch batch) {
        changed.addAll(batch.statuses().keySet());
        placements.addAll(0, batch.placements());
        batch.ends().forEach(this::ended);
    }
}
