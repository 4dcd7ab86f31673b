import java.util.ArrayList;
import java.util.List;

/** Case: a runner crashes and starts again under its id and address, as a runner of another kind. */
final class OtherKind {
    private static final String PREFIX = "/lohu930/";
    private static final int CRASHES = 3;
    private static final long DOWN_MS = 1_200;

    static boolean broken(Fleet fleet, boolean trouble) throws Exception {
        Runner.Work work = (task, run, spec) -> new Runner.Behaviour(2_000, false);
        String[] zones = {"caxias", "vacaria"};
        for (int i = 0; i < 8; i++) {
            fleet.addRunner(zones[i % 2], List.of(i < 5 ? "a" : "b", "r1-" + i / 4), 16_000, work);
        }
        fleet.configure(Fleet.route("r-3hwrr6x", PREFIX, 4, 2));
        fleet.start();
        Thread client = new Thread(() -> {
            for (int i = 0; i < 40; i++) {
                // Each task needs a runner of kind a; about as many as the five runners of that kind can take.
                fleet.submit(PREFIX, Fleet.jobId(), "{\"Spec\":\"cpu=4000 job\",\"Steps\":[{\"Count\":6,\"Cpu\":4000,"
                        + "\"MemMb\":256,\"EstimateMs\":2000,\"Requires\":\"a\"}]}");
                Fleet.pause(500);
            }
        });
        client.start();
        Thread.sleep(4_000);
        for (int i = 0; i < CRASHES; i++) {
            Runner runner = fleet.runners.get(i);
            if (trouble) {
                runner.crash();
                Thread.sleep(DOWN_MS);
                runner.begin(List.of("b", runner.labels().get(1)));
            }
            Thread.sleep(4_000);
        }
        client.join();
        Thread.sleep(4_000);
        List<Runner.Start> wrong = new ArrayList<>();
        int starts = 0;
        for (Runner runner : fleet.runners) {
            synchronized (runner) {
                for (Runner.Start start : runner.starts) {
                    starts++;
                    if (!start.labels().contains("a")) {
                        wrong.add(start);
                    }
                }
            }
        }
        wrong.forEach(start -> fleet.journal.log("wrong: " + start.task() + " run " + start.run()
                + " requires a, was started at " + String.format("%.3f", start.atS()) + " on " + start.runner()
                + " with labels " + start.labels()));
        boolean broken = !wrong.isEmpty();
        fleet.journal.log("verdict: " + (broken ? "BROKEN" : "held") + "; " + starts + " starts, " + wrong.size()
                + " of them on a runner without the required label");
        return broken;
    }
}
