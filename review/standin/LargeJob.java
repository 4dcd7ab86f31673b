import java.util.ArrayList;
import java.util.List;

/** Case: one accepted job with many tasks, then ordinary jobs. */
final class LargeJob {
    private static final String PREFIX = "/lohu930/";
    private static final int LARGE_JOB_TASKS = 3_000;
    private static final double FINISH_S = 14;

    static boolean broken(Fleet fleet, boolean trouble) throws Exception {
        Runner.Work work = (task, run, spec) -> new Runner.Behaviour(800, false);
        for (int i = 0; i < 8; i++) {
            fleet.addRunner(i % 2 == 0 ? "caxias" : "tramandai", List.of("a", "r1-" + i / 4), 16_000, work);
        }
        fleet.configure(Fleet.route("r-3hwrr6x", PREFIX, 4, 2));
        fleet.start();
        List<String> before = jobs(fleet, 10, 100);
        Thread.sleep(3_000);
        String large = Fleet.jobId();
        if (trouble) {
            boolean accepted = fleet.submit(PREFIX, large, "{\"Spec\":\"cpu=400 large\",\"Steps\":[{\"Count\":"
                    + LARGE_JOB_TASKS + ",\"Cpu\":400,\"MemMb\":64,\"EstimateMs\":800}]}");
            if (!accepted) {
                fleet.journal.log("verdict: held; the large job was not accepted");
                return false;
            }
        }
        Thread.sleep(1_000);
        List<String> after = jobs(fleet, 50, 400);
        double trafficEndS = fleet.journal.now();
        double idleSinceS = trafficEndS;
        boolean idleFor3s = false;
        while (fleet.journal.now() < trafficEndS + FINISH_S + 8) {
            Thread.sleep(100);
            int running = fleet.runners.stream().mapToInt(Runner::runningCount).sum();
            if (running > 0 || fleet.journal.now() < trafficEndS + FINISH_S) {
                idleSinceS = fleet.journal.now();
            }
            idleFor3s |= fleet.journal.now() - idleSinceS >= 3;
        }
        List<String> open = new ArrayList<>();
        List<String> asked = new ArrayList<>(before);
        asked.addAll(after);
        if (trouble) {
            asked.add(large);
        }
        for (String id : asked) {
            Http.Response state = fleet.coordinators.get(0).call("GET", PREFIX + id, Fleet.HOST, "", 3_000);
            if (!state.body().contains("done")) {
                open.add(id);
            }
        }
        boolean broken = !open.isEmpty() && idleFor3s;
        fleet.journal.log("verdict: " + (broken ? "BROKEN" : "held") + "; accepted " + asked.size() + ", not done "
                + open.size() + ", no runner at work for 3 s while they waited: " + idleFor3s);
        return broken;
    }

    private static List<String> jobs(Fleet fleet, int count, long gapMs) throws Exception {
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = Fleet.jobId();
            if (fleet.submit(PREFIX, id, "{\"Spec\":\"cpu=1800 job\",\"Steps\":[{\"Count\":4,\"Cpu\":1800,\"MemMb\":256,"
                    + "\"EstimateMs\":1000}]}")) {
                accepted.add(id);
            }
            Thread.sleep(gapMs);
        }
        return accepted;
    }
}
