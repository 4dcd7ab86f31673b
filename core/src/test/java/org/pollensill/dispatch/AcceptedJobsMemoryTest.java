package org.pollensill.dispatch;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.pollensill.job.JobCodec;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobSchedule;
import org.pollensill.job.JobStatus;
import org.pollensill.job.ProgressLayout;
import org.pollensill.job.StoredProgress;
import org.pollensill.job.TaskRecord;
import org.pollensill.job.Trait;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.Row;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against accepted jobs that do not fit into the heap of a leader: each leader that loaded them ended and left
 * them to the next one, and no task started any more. Three leaders in a row load each store.
 */
class AcceptedJobsMemoryTest {

    private static final String HEAP = "-Xmx48m";

    /** What is stored, each at the limits of acceptance. */
    enum Shape {
        SCHEDULES_OF_A_DAY(40) {
            @Override
            JobRequest job(String id) {
                return scheduled(id, 600_000);
            }
        },
        OVERDUE_SCHEDULES(40) {
            @Override
            JobRequest job(String id) {
                return scheduled(id, -86_400_000);
            }
        },
        HALF_DONE_SCHEDULES(40) {
            @Override
            JobRequest job(String id) {
                return scheduled(id, -86_400_000);
            }

            @Override
            int doneOccurrences() {
                return OCCURRENCES / 2;
            }
        },
        LONG_RUNNING_TASKS(30) {
            @Override
            JobRequest job(String id) {
                return Samples.job(id, Samples.step(MAX_TASKS, Trait.RESTART_ALWAYS));
            }
        },
        GANGS(40) {
            @Override
            JobRequest job(String id) {
                return Samples.job(id, Samples.step(MAX_TASKS, Trait.GANG));
            }
        },
        INDEPENDENT_TASKS(100) {
            @Override
            JobRequest job(String id) {
                return Samples.job(id, Samples.step(MAX_TASKS));
            }
        };

        private static final int OCCURRENCES = 8_640;
        private static final int MAX_TASKS = 10_000;
        private final int count;

        Shape(int count) {
            this.count = count;
        }

        private static JobRequest scheduled(String id, long firstDueMs) {
            return new JobRequest(
                    id,
                    "matches",
                    "pad-desk",
                    "payload",
                    List.of(Samples.step(1)),
                    new JobSchedule(DispatcherFixture.T0 + firstDueMs, 10_000, OCCURRENCES),
                    0,
                    Optional.empty());
        }

        abstract JobRequest job(String id);

        int doneOccurrences() {
            return 0;
        }
    }

    /** Program of the process with the heap of a coordinator. */
    static final class Leaders {

        private static final String ORDINARY = "ffffffffffffffff";

        private Leaders() {}

        public static void main(String[] arguments) throws JsonSyntaxException {
            Shape shape = Shape.valueOf(arguments[0]);
            for (int leader = 1; leader <= 3; leader++) {
                new Leader().play(shape);
            }
        }

        private static final class Leader extends DispatcherFixture {

            private void play(Shape shape) throws JsonSyntaxException {
                StoredProgress progress = new StoredProgress();
                for (int i = 0; i < shape.count; i++) {
                    addProgress(progress, "%016x".formatted(i), shape.doneOccurrences());
                }
                for (int i = 0; i < shape.count; i++) {
                    String text = JobCodec.encode(shape.job("%016x".formatted(i)));
                    dispatcher.addJob(JobCodec.decode(text), progress.take("%016x".formatted(i)), T0);
                }
                becomeLeader("r1", "r2");
                dispatcher.addJob(Samples.job(ORDINARY, Samples.step(1)), Optional.empty(), T0);
                long nowMs = T0;
                for (int turn = 0; turn < 40; turn++) {
                    nowMs += 50;
                    dispatcher.tick(nowMs, nowMs, true);
                    commit(nowMs);
                }
                System.out.println(orders.starts.size());
            }

            private static void addProgress(StoredProgress progress, String id, int done) throws JsonSyntaxException {
                for (int first = 0; first < done; first += ProgressLayout.TASKS_PER_ROW) {
                    List<TaskRecord> tasks = new ArrayList<>();
                    for (int k = first; k < Math.min(done, first + ProgressLayout.TASKS_PER_ROW); k++) {
                        tasks.add(new TaskRecord(k, 0, 0, true, 1, 0, "", Optional.empty()));
                    }
                    int row = ProgressLayout.rowOf(first);
                    String value = row == 0
                            ? JobCodec.encode(new JobRecord(JobStatus.RUNNING, tasks))
                            : JobCodec.encodeTasks(tasks);
                    progress.add(new Row("progress/" + ProgressLayout.rowName(id, row), 1, value));
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Shape.class)
    void shouldLoadWhatWasAcceptedAndGoOn(Shape shape) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        HEAP,
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Leaders.class.getName(),
                        shape.name())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        for (String starts : output.lines().toList()) {
            assertTrue(Integer.parseInt(starts) >= 1, output);
        }
        assertEquals(3, output.lines().count(), output);
    }
}
