package org.pollensill.dispatch;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobSchedule;
import org.pollensill.job.TaskName;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against occurrences that count as worthless because their job was added long before they were due: they came
 * after all other work.
 */
class ScheduledUrgencyTest extends DispatcherFixture {

    private static final String SCHEDULED = "aaaaaaaaaaaaaaaa";
    private static final String ORDINARY = "bbbbbbbbbbbbbbbb";
    private static final long HOUR_MS = 3_600_000;

    /** Number of tasks of {@link Samples#step} that fit on a runner. */
    private static final int SLOTS = 4;

    private static JobRequest scheduled(long dueMs, int occurrences) {
        return new JobRequest(
                SCHEDULED,
                "matches",
                "pad-desk",
                "payload",
                List.of(Samples.step(SLOTS)),
                new JobSchedule(dueMs, HOUR_MS, occurrences),
                0,
                Optional.empty());
    }

    private List<TaskName> startedTasks() {
        return orders.starts.stream().map(start -> start.order().task()).toList();
    }

    private void becomeLeaderAt(long nowMs) {
        becomeLeader("r1");
        report(nextRenewal(nowMs), nowMs, List.of(), List.of());
        orders.renewals.clear();
    }

    @Test
    void shouldPlaceAnOccurrenceThatIsDueBeforeJobsThatCameAfterIt() {
        dispatcher.addJob(scheduled(T0 + HOUR_MS, 1), Optional.empty(), T0);
        long dueMs = T0 + HOUR_MS;
        becomeLeaderAt(dueMs);
        dispatcher.addJob(Samples.job(ORDINARY, Samples.step(SLOTS)), Optional.empty(), dueMs + 10);
        commit(dueMs + 10);
        assertEquals(
                List.of(SCHEDULED),
                startedTasks().stream().map(TaskName::jobId).distinct().toList());
    }

    @Test
    void shouldPlaceAJobThatCanEndInTimeBeforeAnOccurrenceOfTheDayBefore() {
        dispatcher.addJob(scheduled(T0 - 24 * HOUR_MS, 1), Optional.empty(), T0);
        dispatcher.addJob(Samples.job(ORDINARY, Samples.step(SLOTS)), Optional.empty(), T0);
        becomeLeader("r1");
        commit(T0);
        assertEquals(
                List.of(ORDINARY),
                startedTasks().stream().map(TaskName::jobId).distinct().toList());
    }
}
