import java.util.ArrayList;
import java.util.List;

/** Case: the store performs the write of a job late; its client gets 504, cancels, and the cancelling is acknowledged. */
final class CancelledUnknown {
    private static final String PREFIX = "/lohu930/";
    private static final double CANCEL_S = 3;
    private static final double CONTACT_S = 3;
    private static final int LATE_MS = 6_000;
    private static final int JOBS = 2;
    private static final int TRAFFIC_CLIENTS = 4;
    private static final double MAX_LOST_SHARE = 0.35;

    static boolean broken(Fleet fleet, boolean trouble) throws Exception {
        Runner.Work work = (task, run, spec) -> new Runner.Behaviour(1_000, false);
        for (int i = 0; i < 6; i++) {
            fleet.addRunner(i % 2 == 0 ? "caxias" : "vacaria", List.of("a", "r1-" + i / 3), 16_000, work);
        }
        fleet.configure(Fleet.route("r-3hwrr6x", PREFIX, 4, 2));
        fleet.start();
        List<Thread> traffic = new ArrayList<>();
        for (int client = 0; client < TRAFFIC_CLIENTS; client++) {
            traffic.add(new Thread(() -> {
                for (int i = 0; i < 60; i++) {
                    fleet.submit(PREFIX, Fleet.jobId(), "{\"Spec\":\"cpu=1800 job\",\"Steps\":[{\"Count\":2,\"Cpu\":1800,"
                            + "\"MemMb\":256,\"EstimateMs\":1000}]}");
                    Fleet.pause(200);
                }
            }));
        }
        traffic.forEach(Thread::start);
        Thread.sleep(2_000);
        List<String> cancelled = new ArrayList<>();
        List<Double> acknowledgedS = new ArrayList<>();
        double[] lastLostS = {0};
        int[] lost = {0};
        for (int i = 0; i < JOBS; i++) {
            cancelled.add(Fleet.jobId());
            acknowledgedS.add(Double.MAX_VALUE);
        }
        int writesBefore = fleet.store.writes;
        if (trouble) {
            fleet.store.lateMs = LATE_MS;
            fleet.store.faults = keys -> {
                for (String id : cancelled) {
                    if (keys.contains("intake/" + id)) {
                        lastLostS[0] = fleet.journal.now();
                        lost[0]++;
                        return Store.Fault.LATE;
                    }
                }
                return Store.Fault.NONE;
            };
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            int number = i;
            Thread client = new Thread(() -> {
                String id = cancelled.get(number);
                fleet.coordinators.get(number % 3).call("POST", PREFIX + id, Fleet.HOST,
                        "{\"Spec\":\"cpu=1800 cancelled\",\"Steps\":[{\"Count\":4,\"Cpu\":1800,\"MemMb\":256,"
                                + "\"EstimateMs\":1000}]}", 3_000);
                Http.Response answer =
                        fleet.coordinators.get((number + 1) % 3).call("DELETE", PREFIX + id, Fleet.HOST, "", 3_000);
                if (answer.status() / 100 == 2 || answer.status() == 410) {
                    acknowledgedS.set(number, fleet.journal.now());
                }
            });
            clients.add(client);
            client.start();
        }
        for (Thread client : clients) {
            client.join();
        }
        int writes = fleet.store.writes - writesBefore;
        fleet.store.faults = keys -> Store.Fault.NONE;
        fleet.journal.log("the store lost the answers of " + lost[0] + " of " + writes + " writes");
        if (lost[0] > MAX_LOST_SHARE * writes) {
            throw new IllegalStateException("the share of lost answers is above the site's dose");
        }
        Thread.sleep(LATE_MS + 2_000);
        for (Thread client : traffic) {
            client.join();
        }
        int wrong = 0;
        for (Runner runner : fleet.runners) {
            synchronized (runner) {
                for (Runner.Start start : runner.starts) {
                    int number = cancelled.indexOf(start.task().substring(0, 16));
                    if (number >= 0
                            && start.atS() > acknowledgedS.get(number) + CANCEL_S
                            && start.atS() > lastLostS[0] + CONTACT_S) {
                        wrong++;
                        fleet.journal.log(String.format(
                                "wrong: %s is started at %.3f, its cancelling was acknowledged at %.3f",
                                start.task(), start.atS(), acknowledgedS.get(number)));
                    }
                }
            }
        }
        boolean broken = wrong > 0;
        fleet.journal.log("verdict: " + (broken ? "BROKEN" : "held") + "; " + wrong + " starts of cancelled jobs");
        return broken;
    }
}
