package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobSchedule;
import org.pollensill.job.JobStatus;
import org.pollensill.job.StoredProgress;
import org.pollensill.job.TaskName;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against occurrences that run twice or never once they are kept as a number before they are due and as a bit
 * after: leaders follow one another while a schedule of more occurrences than are open at a time is worked off.
 */
class ScheduledTakeoverTest {

    private static final String JOB = "aaaaaaaaaaaaaaaa";
    private static final int OCCURRENCES = 400;
    private static final long STEP_MS = 200;
    private static final int MAX_LEADERS = 500;

    private final Random random = new Random(60);
    private final Map<String, String> stored = new HashMap<>();
    private final Set<TaskName> ended = new HashSet<>();
    private long wallMs = DispatcherFixture.T0;
    private int leaders;

    private static JobRequest job() {
        return new JobRequest(
                JOB,
                "matches",
                "pad-desk",
                "payload",
                List.of(Samples.step(1), Samples.after(Samples.step(2), 0)),
                new JobSchedule(DispatcherFixture.T0 - 300_000, 1_000, OCCURRENCES),
                0,
                Optional.empty());
    }

    /** A leader that works until it is replaced, with all its runs ended and recorded. */
    private final class Leader extends DispatcherFixture {

        /** The ended runs that their runner has not listed yet. */
        private final Map<String, List<RunnerReport.EndedRun>> endsByRunner = new HashMap<>();

        private long ends;
        private long nowMs = T0;

        private void load() throws JsonSyntaxException {
            StoredProgress progress = new StoredProgress();
            for (Map.Entry<String, String> row : stored.entrySet()) {
                progress.add(new Row(row.getKey(), 1, row.getValue()));
            }
            dispatcher.addJob(job(), progress.take(JOB), nowMs);
            becomeLeader("r1", "r2");
        }

        private void store() {
            for (Optional<Batch> batch = dispatcher.plan(nowMs); batch.isPresent(); batch = dispatcher.plan(nowMs)) {
                for (Write write : batch.get().writes()) {
                    write.value()
                            .ifPresentOrElse(value -> stored.put(write.key(), value), () -> stored.remove(write.key()));
                }
                dispatcher.committed(batch.get(), nowMs);
            }
        }

        private void endRuns() {
            for (RecordedOrders.Start start : orders.starts) {
                TaskName task = start.order().task();
                assertTrue(ended.add(task), () -> task + " runs twice");
                endsByRunner
                        .computeIfAbsent(start.to().id(), runner -> new ArrayList<>())
                        .add(end(++ends, task, start.order().run(), EndKind.DONE));
            }
            orders.starts.clear();
            dispatcher.tick(nowMs, wallMs, true);
            List<RecordedOrders.Renewal> renewals = List.copyOf(orders.renewals);
            orders.renewals.clear();
            for (RecordedOrders.Renewal renewal : renewals) {
                report(
                        renewal,
                        nowMs,
                        List.of(),
                        endsByRunner.getOrDefault(renewal.to().id(), List.of()));
                endsByRunner.remove(renewal.to().id());
            }
            store();
        }

        private void pass() {
            nowMs += STEP_MS;
            wallMs += STEP_MS;
        }

        private void work(int turns) {
            for (int i = 0; i < turns && !finished(); i++) {
                pass();
                endRuns();
            }
            for (int i = 0; !orders.starts.isEmpty() || !endsByRunner.isEmpty(); i++) {
                assertTrue(i < MAX_LEADERS, "a runner is not asked for its ended runs");
                pass();
                endRuns();
            }
        }

        private boolean finished() {
            return dispatcher.status(JOB).equals(Optional.of(JobStatus.DONE));
        }
    }

    @Test
    void shouldRunEachOccurrenceOnceOverTakeovers() throws JsonSyntaxException {
        boolean finished = false;
        while (!finished && leaders < MAX_LEADERS) {
            leaders++;
            Leader leader = new Leader();
            leader.load();
            leader.work(1 + random.nextInt(20));
            finished = leader.finished();
        }
        assertTrue(leaders > 3, leaders + " leaders");
        assertEquals(OCCURRENCES * 3, ended.size());
        assertEquals("{\"status\":\"DONE\",\"tasks\":[]}", stored.get("progress/" + JOB));
    }
}
