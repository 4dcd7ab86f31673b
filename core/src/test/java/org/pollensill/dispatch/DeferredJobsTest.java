package org.pollensill.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.pollensill.admission.JobMemory;
import org.pollensill.evacuation.ZoneEvacuations;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobSchedule;
import org.pollensill.job.JobStatus;
import org.pollensill.job.JobTerms;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A store that holds more than a leader has memory for, as former versions left it. */
class DeferredJobsTest {

    private static final long T0 = 100_000;
    private static final long JOB_BYTES = JobMemory.maxBytes(job(0, 1));

    private final CountingListener listener = new CountingListener();
    private final StateLimit limit = new StateLimit(3 * JOB_BYTES);
    private final PendingChanges pendingChanges = new PendingChanges("progress/", listener);
    private final JobTable jobs = new JobTable(pendingChanges, limit, listener);
    private final Fleet fleet = new Fleet(InheritedLeases.unrecorded(T0), ZoneEvacuations.unsupported());

    private static String id(int number) {
        return "%016x".formatted(number);
    }

    private static JobRequest job(int number, int priority) {
        return new JobRequest(
                id(number),
                "matches",
                "pad-desk",
                "",
                List.of(Samples.step(1)),
                JobSchedule.AT_ONCE,
                0,
                Optional.of(new JobTerms(priority, 2, 2.0, 500, Optional.empty())));
    }

    private void add(int number, int priority) {
        jobs.add(job(number, priority), Optional.empty(), false, fleet, T0);
    }

    private List<String> kept() {
        return jobs.all().stream().map(job -> job.request.id()).sorted().toList();
    }

    @Test
    void shouldKeepTheMostUrgentJobsThatFit() {
        add(1, 3);
        add(2, 1);
        add(3, 2);
        add(4, 1);
        add(5, 3);
        assertEquals(List.of(id(2), id(3), id(4)), kept());
        assertEquals(List.of(id(1), id(5)), listener.deferred);
        assertEquals(0, limit.freeBytes());
        assertEquals(Map.of("matches", 5), jobs.waitingByQueue());
    }

    @Test
    void shouldKeepJobsThatHaveBegun() {
        add(1, 1);
        add(2, 1);
        add(3, 1);
        jobs.add(job(4, 9), Optional.of(new JobRecord(JobStatus.RUNNING, List.of())), false, fleet, T0);
        assertTrue(kept().contains(id(4)));
        assertEquals(3, kept().size());
    }

    @Test
    void shouldTakeUpTheMostUrgentOnesAsOthersEnd() {
        add(1, 1);
        add(2, 1);
        add(3, 1);
        add(4, 3);
        add(5, 2);
        limit.loaded();
        assertEquals(List.of(), limit.deferred().next(limit.freeBytesBesideDeferred(), 10));
        JobState ended = jobs.get(id(1)).orElseThrow();
        jobs.finish(ended, JobStatus.CANCELLED, T0);
        Batch batch = pendingChanges.take(T0).orElseThrow();
        ended.recordedStatus = JobStatus.CANCELLED;
        pendingChanges.committed(batch);
        jobs.endRecorded(ended);
        assertEquals(List.of(id(1)), jobs.retireEnded());
        assertEquals(List.of(id(5)), limit.deferred().next(limit.freeBytesBesideDeferred(), 10));
        add(5, 2);
        assertEquals(List.of(id(2), id(3), id(5)), kept());
    }

    @Test
    void shouldReadACancelledJobWithoutRoomForIt() {
        add(1, 1);
        add(2, 1);
        add(3, 1);
        add(4, 1);
        limit.deferred().cancel(id(4));
        assertEquals(List.of(id(4)), limit.deferred().next(0, 10));
    }

    @Test
    void shouldTakeAJobAloneThatExceedsTheLimit() {
        JobRequest large = Samples.job(id(9), Samples.step(10_000));
        jobs.add(large, Optional.empty(), false, fleet, T0);
        assertEquals(List.of(id(9)), kept());
    }
}
