import java.util.List;
import java.util.Map;

/** One job whose tasks, one on each runner, take ten times as long as declared. */
final class LongTasks {

    private static final long DECLARED_MS = 60_000;
    private static final long TASK_MS = 600_000;
    private static final int TASKS = 12;
    private static final long HANDED_IN_MS = 14_000;
    private static final long ORDINARY_MS = 10_000;
    private static final long TRAFFIC_MS = 16_000;
    private static final long WATCHED_MS = 30_000;

    public static void main(String[] arguments) {
        CaseRun.main(arguments, LongTasks::run);
    }

    private static boolean run(Setting setting) throws Exception {
        OrdinaryLoad load = new OrdinaryLoad(setting);
        setting.addRunners(12, true, 200, load, load);
        setting.addMachines(6);
        setting.configure(true);
        setting.begin();
        long begunMs = setting.record.nowMs();
        String job = Client.id(1_000_000);
        String path = Setting.BATCH + job;
        load.setWork(job, new Runner.Work(TASK_MS, "done"));
        boolean handedIn = false;
        long idleAtMs = 0;
        while (setting.record.nowMs() < begunMs + TRAFFIC_MS + OrdinaryLoad.FINISH_MS + WATCHED_MS) {
            long nowMs = setting.record.nowMs();
            long sinceMs = nowMs - begunMs;
            load.tick(sinceMs < ORDINARY_MS);
            if (!handedIn && sinceMs >= HANDED_IN_MS) {
                handedIn = true;
                long estimateMs = setting.trouble ? DECLARED_MS : TASK_MS;
                Map<String, Object> step = Setting.step(TASKS, 1_000, 1_024, estimateMs);
                step.put("AntiAffinity", 1L);
                String body = Json.write(Map.of("Spec", "rebuild", "Steps", List.of(step)));
                if (setting.client.submit(setting.fronts(), path, body, 3)) {
                    load.accepted(job, path);
                } else {
                    throw new IllegalStateException("the long job is not accepted");
                }
            }
            boolean judged = sinceMs >= TRAFFIC_MS + OrdinaryLoad.FINISH_MS;
            if (judged && idleAtMs == 0 && load.idleTooLong(job, nowMs)) {
                idleAtMs = nowMs;
                setting.record.say("LOST: the long job has had nothing running for 3 s while under half of the capacity"
                        + " was in use; it is " + Client.state(setting.client.get(setting.fronts().get(0), path)));
            }
            setting.watchLeader();
            Thread.sleep(10);
        }
        int lost = load.judge();
        return idleAtMs > 0 || lost > 0;
    }
}
