import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Ordinary jobs that come all the time beside what a case tries, and the part of the rule LOST that is judged after the
 * end of the traffic: each accepted job is known and answered, and does not wait while most of the capacity is idle.
 */
final class OrdinaryLoad implements Runner.Job, Runner.Observer {

    /** The bound {@code finish_s} of the users' small deployments. */
    static final long FINISH_MS = 14_000;

    /** The time for which a job has nothing running. */
    static final long IDLE_MS = 3_000;

    private static final long INTERVAL_MS = 500;
    private static final int TASKS = 4;
    private static final long TASK_MS = 300;
    private static final long SAMPLE_MS = 100;
    private static final long ANSWER_MS = 3_000;
    private static final int ATTEMPTS = 5;

    private record Sample(long atMs, double usedFraction) {}

    /** What a case hands in beside the ordinary jobs, by job. */
    private final Map<String, Runner.Work> works = new HashMap<>();

    private final Setting setting;
    private final Map<String, String> acceptedPaths = new LinkedHashMap<>();
    private final Map<String, Integer> runningByJob = new HashMap<>();
    private final Map<String, Long> idleSinceMs = new HashMap<>();
    private final List<Sample> samples = new ArrayList<>();
    private long nextMs;
    private long nextSampleMs;
    private long number;
    private int sent;

    OrdinaryLoad(Setting setting) {
        this.setting = setting;
    }

    static String jobOf(String task) {
        return task.substring(0, task.indexOf('.'));
    }

    synchronized void setWork(String job, Runner.Work work) {
        works.put(job, work);
    }

    @Override
    public synchronized Runner.Work work(String task, int run, Runner runner) {
        return works.getOrDefault(jobOf(task), new Runner.Work(TASK_MS, "done"));
    }

    @Override
    public Runner.Needs needs(String task) {
        return new Runner.Needs(1_000, 1_024);
    }

    @Override
    public void started(Runner runner, Runner.Run run) {
        setting.record.log("start " + run.task + " run " + run.run + " on " + runner.id);
        synchronized (this) {
            runningByJob.merge(jobOf(run.task), 1, Integer::sum);
        }
    }

    @Override
    public void ended(Runner runner, Runner.Run run, String how) {
        setting.record.log("end " + run.task + " run " + run.run + " on " + runner.id + ": " + how);
        synchronized (this) {
            if (runningByJob.merge(jobOf(run.task), -1, Integer::sum) == 0) {
                idleSinceMs.put(jobOf(run.task), setting.record.nowMs());
            }
        }
    }

    /** Records that a job was accepted, so that it is judged. */
    synchronized void accepted(String job, String path) {
        acceptedPaths.put(job, path);
        idleSinceMs.putIfAbsent(job, setting.record.nowMs());
    }

    /** Hands in the ordinary jobs that are due, and samples how much of the capacity is in use. */
    void tick(boolean traffic) {
        long nowMs = setting.record.nowMs();
        if (nowMs >= nextSampleMs) {
            nextSampleMs = nowMs + SAMPLE_MS;
            long used = 0;
            long capacity = 0;
            for (Runner runner : setting.runners) {
                used += runner.usedCpu();
                capacity += runner.cpu;
            }
            samples.add(new Sample(nowMs, (double) used / capacity));
        }
        if (!traffic || nowMs < nextMs) {
            return;
        }
        nextMs = nowMs + INTERVAL_MS;
        String job = Client.id(++number);
        String path = Setting.URGENT + job;
        List<String> fronts = setting.fronts();
        String body = Json.write(Map.of("Spec", "check", "Steps", List.of(Setting.step(TASKS, 1_000, 1_024, TASK_MS))));
        sent++;
        setting.client
                .call("POST", fronts.get((int) (number % fronts.size())), path, body, 3_000)
                .thenAccept(reply -> {
                    if (reply.status() == 200) {
                        accepted(job, path);
                    }
                });
    }

    /** Returns whether a job has had nothing running for 3 s while under half of the capacity was in use. */
    synchronized boolean idleTooLong(String job, long nowMs) {
        if (runningByJob.getOrDefault(job, 0) > 0 || nowMs - idleSinceMs.getOrDefault(job, nowMs) < IDLE_MS) {
            return false;
        }
        for (Sample sample : samples) {
            if (sample.atMs() >= nowMs - IDLE_MS && sample.usedFraction() >= 0.5) {
                return false;
            }
        }
        return true;
    }

    /** Asks for a job, also at the next machine where one does not answer. */
    private CompletableFuture<Client.Reply> ask(List<String> fronts, String path, int attempt) {
        return setting.client
                .call("GET", fronts.get(attempt % fronts.size()), path, "", ANSWER_MS)
                .thenCompose(reply -> {
                    boolean answered = reply.status() == 200 || reply.status() == 410;
                    return answered || attempt + 1 == ATTEMPTS
                            ? CompletableFuture.completedFuture(reply)
                            : ask(fronts, path, attempt + 1);
                });
    }

    /** Asks for all accepted jobs and returns how many of them break the rule LOST. */
    int judge() {
        List<String> fronts = setting.fronts();
        int done = 0;
        int unanswered = 0;
        int idle = 0;
        Map<String, String> paths;
        synchronized (this) {
            paths = new LinkedHashMap<>(acceptedPaths);
        }
        long judgedAtMs = setting.record.nowMs();
        Map<String, CompletableFuture<Client.Reply>> replies = new LinkedHashMap<>();
        paths.forEach((job, path) -> replies.put(job, ask(fronts, path, 0)));
        for (Map.Entry<String, CompletableFuture<Client.Reply>> accepted : replies.entrySet()) {
            boolean idleThen = idleTooLong(accepted.getKey(), judgedAtMs);
            String state = Client.state(accepted.getValue().join());
            if (state.equals("done")) {
                done++;
            } else if (state.isEmpty()) {
                unanswered++;
                setting.record.log("LOST: " + accepted.getKey() + " is not known or not answered");
            } else if (idleThen) {
                idle++;
                setting.record.log("LOST: " + accepted.getKey() + " is " + state + " and has had nothing running for 3 s");
            }
        }
        setting.record.say(sent + " ordinary jobs sent; of " + paths.size() + " accepted jobs " + done + " are done, "
                + unanswered + " are not known or not answered, " + idle
                + " have had nothing running for 3 s while under half of the capacity was in use");
        return unanswered + idle;
    }
}
