import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Jobs with schedules of a day come within two seconds; none of them is due yet. */
final class ManySchedules {

    private static final int SCHEDULES = 40;
    private static final long OCCURRENCES = 8_640;
    private static final long INTERVAL_MS = 10_000;
    private static final long TASK_MS = 300;
    private static final long HANDED_IN_MS = 8_000;
    private static final long BURST_GAP_MS = 40;
    private static final long CALM_GAP_MS = 1_000;
    private static final long TRAFFIC_MS = 50_000;
    private static final int EXITS = 3;

    public static void main(String[] arguments) {
        CaseRun.main(arguments, ManySchedules::run);
    }

    private static boolean run(Setting setting) throws Exception {
        OrdinaryLoad load = new OrdinaryLoad(setting);
        setting.addRunners(12, true, 200, load, load);
        setting.addMachines(6);
        setting.configure(true);
        setting.begin();
        long begunMs = setting.record.nowMs();
        int handedIn = 0;
        while (setting.record.nowMs() < begunMs + TRAFFIC_MS + OrdinaryLoad.FINISH_MS) {
            long sinceMs = setting.record.nowMs() - begunMs;
            load.tick(sinceMs < TRAFFIC_MS);
            long gapMs = setting.trouble ? BURST_GAP_MS : CALM_GAP_MS;
            if (handedIn < SCHEDULES && sinceMs >= HANDED_IN_MS + handedIn * gapMs) {
                handIn(setting, handedIn++);
            }
            setting.watchLeader();
            Thread.sleep(10);
        }
        int lost = load.judge();
        int often = 0;
        for (System3.Machine machine : setting.system.machines) {
            setting.record.say("the process of " + machine.name + " ended by itself " + machine.exits + " times");
            often += machine.exits >= EXITS ? 1 : 0;
        }
        return lost > 0 || often >= 2;
    }

    private static void handIn(Setting setting, int number) {
        List<String> fronts = setting.fronts();
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("Spec", "watering plan of greenhouse " + number);
        body.put("Steps", List.of(Setting.step(1, 1_000, 1_024, TASK_MS)));
        body.put("Repeats", OCCURRENCES);
        body.put("StartAtMs", System.currentTimeMillis() + 600_000);
        body.put("IntervalMs", INTERVAL_MS);
        String path = Setting.BATCH + Client.id(1_000_000 + number);
        setting.client.call("POST", fronts.get(number % fronts.size()), path, Json.write(body), 3_000);
    }
}
