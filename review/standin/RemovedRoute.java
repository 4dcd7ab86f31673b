import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Case: a route is removed while its jobs run, the leader is restarted, a run fails once, and the route comes back. */
final class RemovedRoute {
    private static final String PREFIX = "/lohu930/";
    private static final int ATTEMPTS = 4;
    private static final int JOBS = 4;

    static boolean broken(Fleet fleet, boolean trouble) throws Exception {
        // The first run of one task of each job fails, all others end well.
        Runner.Work work = (task, run, spec) -> new Runner.Behaviour(9_000, task.endsWith(".0") && run == 1);
        for (int i = 0; i < 6; i++) {
            fleet.addRunner(i % 2 == 0 ? "caxias" : "vacaria", List.of("a", "r1-" + i / 3), 16_000, work);
        }
        String queue = Fleet.route("r-3hwrr6x", PREFIX, ATTEMPTS, 2);
        String other = Fleet.route("r-73d3zji", "/pufi791/", 2, 0);
        fleet.configure(queue, other);
        fleet.start();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = Fleet.jobId();
            if (fleet.submit(PREFIX, id, "{\"Spec\":\"cpu=1800 job\",\"Steps\":[{\"Count\":3,\"Cpu\":1800,\"MemMb\":256,"
                    + "\"EstimateMs\":9000}]}")) {
                jobs.add(id);
            }
        }
        Thread.sleep(1_500);
        if (trouble) {
            fleet.configure(other);
            Thread.sleep(2_500);
            Coordinator leader = fleet.leader().orElseThrow(() -> new IllegalStateException("no leader"));
            leader.terminate();
            for (int i = 0; i < 70 && leader.alive(); i++) {
                Thread.sleep(100);
            }
            leader.start();
        }
        Thread.sleep(10_000);
        if (trouble) {
            fleet.configure(queue, other);
        }
        Thread.sleep(14_000);
        Map<String, Integer> failedEnds = new HashMap<>();
        for (Runner runner : fleet.runners) {
            synchronized (runner) {
                for (Runner.End end : runner.ends) {
                    if (end.how().equals("failed")) {
                        failedEnds.merge(end.task(), 1, Integer::sum);
                    }
                }
            }
        }
        int wrong = 0;
        for (String id : jobs) {
            Http.Response state = fleet.coordinators.get(1).call("GET", PREFIX + id, Fleet.HOST, "", 3_000);
            int most = 0;
            for (Map.Entry<String, Integer> task : failedEnds.entrySet()) {
                most = task.getKey().startsWith(id) ? Math.max(most, task.getValue()) : most;
            }
            if (state.body().contains("failed") && most < ATTEMPTS) {
                wrong++;
                fleet.journal.log("wrong: job " + id + " is shown as failed; its tasks have at most " + most
                        + " failed runs, Attempts is " + ATTEMPTS);
            }
        }
        if (jobs.size() < JOBS) {
            throw new IllegalStateException("not all jobs were accepted");
        }
        boolean broken = wrong > 0;
        fleet.journal.log("verdict: " + (broken ? "BROKEN" : "held") + "; " + jobs.size() + " accepted jobs, " + wrong
                + " shown as failed without cause");
        return broken;
    }
}
