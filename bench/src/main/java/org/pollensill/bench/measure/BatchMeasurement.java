package org.pollensill.bench.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Runs batch jobs while workers and schedulers fail. Every task must finish, and no task may run on two workers at the
 * same time, finish twice or be resumed twice.
 */
final class BatchMeasurement implements Measurement {

    private static final int WORKERS = 8;
    private static final int JOBS = 24;
    private static final int TASKS_PER_JOB = 10;
    private static final long TASK_DURATION_MS = 4_000;
    private static final long PAUSE_MS = 5_000;
    private static final long SUBMIT_TIMEOUT_MS = 30_000;
    // Twice a lease of 30 s with its margin, plus the run time of the tasks.
    private static final long FINISH_TIMEOUT_MS = 120_000;
    private static final long POLL_INTERVAL_MS = 200;

    @Override
    public Map<String, Object> run(Path home, Path directory) throws IOException, InterruptedException {
        try (Fleet fleet = Fleet.start(home, directory, Workload.singleZone(), 1, 2, WORKERS)) {
            return measure(fleet);
        }
    }

    private static Map<String, Object> measure(Fleet fleet) throws IOException, InterruptedException {
        List<String> taskIds = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            submitJob(fleet, i, taskIds);
        }
        fleet.standinClient().post("/expect-tasks", Map.of("tasks", taskIds));
        long startNs = System.nanoTime();
        fleet.setFault(Map.of("fault", "worker-fail", "target", workerName(0)));
        Thread.sleep(3_000);
        fleet.schedulers().get(1).process().signal("KILL");
        Thread.sleep(4_000);
        fleet.setFault(Map.of("fault", "worker-die", "target", workerName(1)));
        Thread.sleep(3_000);
        fleet.schedulers().get(1).process().start();
        fleet.setFault(Map.of("fault", "worker-lapse", "target", workerName(2)));
        Thread.sleep(4_000);
        fleet.schedulers().get(0).process().signal("STOP");
        Thread.sleep(PAUSE_MS);
        fleet.schedulers().get(0).process().signal("CONT");
        fleet.setFault(Map.of("fault", "worker-fail", "target", workerName(0), "on", false));
        long finishedTasks = awaitTasksFinished(fleet, taskIds.size(), startNs);
        Map<String, Object> results = new LinkedHashMap<>();
        results.put("tasks", taskIds.size());
        results.put("tasksFinished", finishedTasks);
        results.put(
                "allFinishedAfterMs", finishedTasks == taskIds.size() ? (System.nanoTime() - startNs) / 1_000_000 : -1);
        JsonNode counters = fleet.standinClient().get("/counters");
        results.put("taskStarts", counters.path("taskStarts").asLong());
        results.put("taskFailures", counters.path("taskFailures").asLong());
        results.put("promises", fleet.guaranteeCounters());
        return results;
    }

    private static String workerName(int index) {
        return Workload.ZONE + "-worker-" + index;
    }

    private static void submitJob(Fleet fleet, int jobIndex, List<String> taskIds)
            throws IOException, InterruptedException {
        Map<String, Object> job = Map.of(
                "key",
                "measure-" + jobIndex,
                "team",
                "canvas",
                "kind",
                "mildew-index",
                "tasks",
                TASKS_PER_JOB,
                "command",
                "sleep",
                "durationMs",
                TASK_DURATION_MS,
                "processorsMillicores",
                2_000,
                "memoryBytes",
                1 << 26);
        long deadlineNs = System.nanoTime() + SUBMIT_TIMEOUT_MS * 1_000_000;
        while (true) {
            for (Fleet.Daemon scheduler : fleet.schedulers()) {
                try {
                    // Only the owner of the shard accepts the submission; repeats with the same key create no second
                    // job.
                    String id = scheduler
                            .operatorClient()
                            .post("/jobs", job)
                            .path("id")
                            .asText();
                    for (int taskIndex = 0; taskIndex < TASKS_PER_JOB; taskIndex++) {
                        taskIds.add(id + "/" + taskIndex);
                    }
                    return;
                } catch (IOException e) {
                    if (System.nanoTime() > deadlineNs) {
                        throw e;
                    }
                }
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private static long awaitTasksFinished(Fleet fleet, int taskCount, long startNs)
            throws IOException, InterruptedException {
        long finishedTasks = 0;
        while (finishedTasks < taskCount && System.nanoTime() - startNs < FINISH_TIMEOUT_MS * 1_000_000) {
            Thread.sleep(POLL_INTERVAL_MS);
            finishedTasks =
                    fleet.standinClient().get("/counters").path("tasksFinished").asLong();
        }
        return finishedTasks;
    }
}
