import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Case: a runner crashes under a member of a gang that saves its progress. */
final class GangCheckpoint {
    private static final String PREFIX = "/lohu930/";
    private static final int MEMBERS = 4;
    private static final int JOBS = 6;

    static boolean broken(Fleet fleet, boolean trouble) throws Exception {
        Runner.Work work = (task, run, spec) -> new Runner.Behaviour(9_000, false, true, MEMBERS);
        for (int i = 0; i < 8; i++) {
            fleet.addRunner(i % 2 == 0 ? "caxias" : "vacaria", List.of("a", "r1-" + i / 4), 16_000, true, work);
        }
        fleet.configure(Fleet.route("r-3hwrr6x", PREFIX, 4, 2));
        fleet.start();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = Fleet.jobId();
            if (fleet.submit(PREFIX, id, "{\"Spec\":\"cpu=4000 gang\",\"Steps\":[{\"Count\":" + MEMBERS
                    + ",\"Cpu\":4000,\"MemMb\":256,\"EstimateMs\":9000,\"Gang\":true,\"Checkpoints\":true,"
                    + "\"AntiAffinity\":1}]}")) {
                jobs.add(id);
            }
        }
        Thread.sleep(4_300);
        if (trouble) {
            Runner runner = fleet.runners.stream()
                    .filter(each -> each.runningCount() > 0)
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("no runner is at work"));
            runner.crash();
            Thread.sleep(2_000);
            runner.begin(runner.labels());
        }
        Thread.sleep(24_000);
        Map<String, TreeSet<String>> checkpoints = new TreeMap<>();
        for (Runner runner : fleet.runners) {
            synchronized (runner) {
                for (Runner.Start start : runner.starts) {
                    String run = start.task().substring(0, start.task().lastIndexOf('.')) + " run " + start.run();
                    checkpoints.computeIfAbsent(run, key -> new TreeSet<>()).add(start.checkpoint());
                }
            }
        }
        int wrong = 0;
        for (Map.Entry<String, TreeSet<String>> run : checkpoints.entrySet()) {
            if (run.getValue().size() > 1) {
                wrong++;
                fleet.journal.log("wrong: the members of gang " + run.getKey() + " carry the checkpoints " + run.getValue());
            }
        }
        fleet.journal.log("verdict: " + (wrong > 0 ? "BROKEN" : "held") + "; " + wrong + " runs of gangs with different"
                + " checkpoints");
        return wrong > 0;
    }
}
