import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Jobs with a schedule whose occurrences are all due when they are handed in. */
final class OverdueSchedules {

    private static final int SCHEDULES = 4;
    private static final long OCCURRENCES = 8_000;
    private static final long INTERVAL_MS = 10_000;
    private static final long TASK_MS = 30_000;
    private static final long HANDED_IN_MS = 8_000;
    private static final long TRAFFIC_MS = 50_000;

    public static void main(String[] arguments) {
        CaseRun.main(arguments, OverdueSchedules::run);
    }

    private static boolean run(Setting setting) throws Exception {
        OrdinaryLoad load = new OrdinaryLoad(setting);
        setting.addRunners(12, true, 200, load, load);
        setting.addMachines(6);
        setting.configure(true);
        setting.begin();
        long begunMs = setting.record.nowMs();
        boolean handedIn = false;
        while (setting.record.nowMs() < begunMs + TRAFFIC_MS + OrdinaryLoad.FINISH_MS) {
            long sinceMs = setting.record.nowMs() - begunMs;
            load.tick(sinceMs < TRAFFIC_MS);
            if (!handedIn && sinceMs >= HANDED_IN_MS) {
                handedIn = true;
                for (int i = 0; i < SCHEDULES; i++) {
                    handIn(setting, load, i);
                }
            }
            setting.watchLeader();
            Thread.sleep(10);
        }
        return load.judge() > 0;
    }

    private static void handIn(Setting setting, OrdinaryLoad load, int number) {
        String job = Client.id(1_000_000 + number);
        long nowMs = System.currentTimeMillis();
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("Spec", "look " + number);
        body.put("Steps", List.of(Setting.step(1, 1_000, 1_024, TASK_MS)));
        body.put("Repeats", OCCURRENCES);
        body.put("StartAtMs", setting.trouble ? nowMs - OCCURRENCES * INTERVAL_MS : nowMs);
        body.put("IntervalMs", INTERVAL_MS);
        load.setWork(job, new Runner.Work(TASK_MS, "done"));
        setting.client.call("POST", setting.fronts().get(number), Setting.BATCH + job, Json.write(body), 3_000);
    }
}
