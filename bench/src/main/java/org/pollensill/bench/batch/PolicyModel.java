package org.pollensill.bench.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.pollensill.batch.PlacementPolicy;
import org.pollensill.batch.PlacementRequest;
import org.pollensill.batch.WorkerPool;
import org.pollensill.worker.Interference;
import org.pollensill.worker.LoadBand;
import org.pollensill.worker.Resources;
import org.pollensill.worker.UsageEstimator;
import org.pollensill.worker.Worker;

/**
 * Small deterministic model of a zone in steps of a second: 45 workers of 32 cores with a counter service whose load
 * follows steps, and four batch kinds whose declared sizes and whose harm to the counter differ. The harm is known to
 * the policies only through measurements that are 10 s old.
 */
final class PolicyModel {

    private static final int WORKERS = 45;
    private static final int SECONDS = 3_600;
    private static final int LAG_SECONDS = 10;
    private static final int EVICT_AFTER_SECONDS = 5;
    private static final int EVICTIONS_PER_MINUTE = 60;
    private static final double LATENCY_BOUND = 1.5;
    private static final Resources HOST = new Resources(32_000, 125L << 30, 0);
    private static final long SECOND_NS = 1_000_000_000L;

    /**
     * A batch kind.
     *
     * @param name its name
     * @param declared declared size
     * @param usedMillicores what a task really uses
     * @param harm factor on the counter's latency under high load
     */
    private record Kind(String name, Resources declared, int usedMillicores, double harm) {}

    private static final List<Kind> KINDS = List.of(
            new Kind("thumbnail", new Resources(2_000, 2L << 30, 0), 800, 1.01),
            new Kind("compress", new Resources(1_000, 4L << 30, 0), 1_800, 1.05),
            new Kind("index", new Resources(4_000, 8L << 30, 0), 2_000, 1.03),
            new Kind("scan", new Resources(2_000, 2L << 30, 0), 2_000, 1.25));

    private static final class Running {
        private final Kind kind;
        private final String id;
        private final Site site;
        private double leftSeconds;
        private long sinceSecond;

        private Running(Kind kind, String id, Site site, double leftSeconds) {
            this.kind = kind;
            this.id = id;
            this.site = site;
            this.leftSeconds = leftSeconds;
        }
    }

    private static final class Site {
        private final Worker worker;
        private final int phase;
        private final List<Running> running = new ArrayList<>();
        private double latency = 1;
        private int overSeconds;

        private Site(Worker worker, int phase) {
            this.worker = worker;
            this.phase = phase;
        }
    }

    private record Waiting(Kind kind, double leftSeconds) {}

    private record Reading(Site site, LoadBand band, double latency, List<String> kinds) {}

    /**
     * Result of a run.
     *
     * @param counterMean mean of the counter's latency relative to an idle host
     * @param counterTail 99th percentile of it
     * @param overBoundPercent share of worker seconds above the latency bound
     * @param finished batch tasks that ended
     * @param workSeconds batch work done at full speed
     * @param evictions tasks moved away
     */
    record Result(
            double counterMean,
            double counterTail,
            double overBoundPercent,
            int finished,
            double workSeconds,
            int evictions) {}

    private final SplittableRandom random;
    private final boolean learns;
    private final Interference interference = Interference.empty();
    private final UsageEstimator usage = UsageEstimator.empty();
    private final PlacementPolicy policy;
    private final WorkerPool pool = WorkerPool.empty();
    private final List<Site> sites = new ArrayList<>();
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final Deque<List<Reading>> lagging = new ArrayDeque<>();
    private final List<Double> latencies = new ArrayList<>();
    private double evictionTokens = EVICTIONS_PER_MINUTE;
    private int evictions;
    private int finished;
    private int number;
    private double work;

    private PolicyModel(String policyName, boolean learns, long seed) {
        this.random = new SplittableRandom(seed);
        this.learns = learns;
        this.policy = switch (policyName) {
            case "firstFit" -> PlacementPolicy.firstFit();
            case "bestFit" -> PlacementPolicy.bestFit();
            default -> PlacementPolicy.sampling(8, interference);
        };
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = Worker.of("w" + i, "", "k" + i / 11, HOST);
            worker.updateClock(1, 1, 0);
            pool.add(worker);
            sites.add(new Site(worker, i % 3));
        }
        pool.limitTo(80);
    }

    /** Runs the model for an hour. */
    static Result run(String policyName, boolean learns, long seed, int arrivalsPerSecond) {
        PolicyModel model = new PolicyModel(policyName, learns, seed);
        for (int second = 0; second < SECONDS; second++) {
            model.step(second, arrivalsPerSecond);
        }
        return model.result();
    }

    private Result result() {
        latencies.sort(Comparator.naturalOrder());
        double mean =
                latencies.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double tail = latencies.get((int) (latencies.size() * 0.99));
        long over =
                latencies.stream().filter(latency -> latency > LATENCY_BOUND).count();
        return new Result(mean, tail, 100.0 * over / latencies.size(), finished, work, evictions);
    }

    private void step(int second, int arrivals) {
        for (int i = 0; i < arrivals; i++) {
            queue.addLast(new Waiting(KINDS.get(random.nextInt(KINDS.size())), 60 + random.nextInt(120)));
        }
        sites.forEach(site -> site.worker.updateLatencyCriticalLoad("pad-match", loadPercent(site, second), 0));
        place(second);
        List<Reading> readings = new ArrayList<>();
        for (Site site : sites) {
            advance(site, second);
            readings.add(new Reading(
                    site,
                    site.worker.band(),
                    site.latency,
                    site.running.stream().map(task -> task.kind.name()).toList()));
        }
        lagging.addLast(readings);
        if (lagging.size() > LAG_SECONDS) {
            lagging.pollFirst().forEach(this::learn);
        }
        evictionTokens = Math.min(EVICTIONS_PER_MINUTE, evictionTokens + EVICTIONS_PER_MINUTE / 60.0);
        sites.forEach(site -> relieve(site, second));
    }

    /** A third of the counters is busy at a time, in steps of ten minutes. */
    private static int loadPercent(Site site, int second) {
        return second / 600 % 3 == site.phase ? 85 : 30;
    }

    private void place(int second) {
        int tries = queue.size();
        List<Kind> full = new ArrayList<>();
        while (tries-- > 0 && full.size() < KINDS.size()) {
            Waiting next = queue.pollFirst();
            Resources size = learns
                    ? usage.estimate(next.kind().name(), next.kind().declared())
                    : next.kind().declared();
            PlacementRequest request = new PlacementRequest(
                    "j0-" + number % 20, next.kind().name(), size, false, Set.of(), second * SECOND_NS);
            Optional<Worker> worker =
                    full.contains(next.kind()) ? Optional.empty() : policy.choose(request, pool, random);
            if (worker.isEmpty()) {
                full.add(next.kind());
                queue.addLast(next);
                continue;
            }
            String id = "t" + number++;
            worker.get().capacity().tryAllocate(id, size);
            worker.get().addTaskOfKind(next.kind().name());
            Site site = sites.get(Integer.parseInt(worker.get().name().substring(1)));
            Running task = new Running(next.kind(), id, site, next.leftSeconds());
            task.sinceSecond = second;
            site.running.add(task);
        }
    }

    private void advance(Site site, int second) {
        boolean busy = site.worker.band() == LoadBand.HIGH;
        double used = busy ? 12_000 : 4_000;
        double harm = 1;
        for (Running task : site.running) {
            used += task.kind.usedMillicores();
            harm *= busy ? task.kind.harm() : 1 + (task.kind.harm() - 1) / 5;
        }
        double over = Math.max(1, used / HOST.processorsMillicores());
        site.latency = harm * (1 + 2 * (over - 1));
        latencies.add(site.latency);
        for (Running task : List.copyOf(site.running)) {
            task.leftSeconds -= 1 / over;
            work += 1 / over;
            usage.observe(
                    task.kind.name(),
                    new Resources(
                            task.kind.usedMillicores(), task.kind.declared().memoryBytes(), 0),
                    LAG_SECONDS * 1_000L,
                    (second - task.sinceSecond) * 1_000L);
            if (task.leftSeconds <= 0) {
                remove(task);
                finished++;
            }
        }
    }

    /** Blames one kind at a time: a reading counts for a kind only against readings without it in the same band. */
    private void learn(Reading reading) {
        for (Kind kind : KINDS) {
            long count = reading.kinds().stream().filter(kind.name()::equals).count();
            if (count == 0) {
                continue;
            }
            double others = 1;
            for (String other : reading.kinds()) {
                if (!other.equals(kind.name())) {
                    others *= interference.ratio("pad-match", other, reading.band());
                }
            }
            double ratio = Math.pow(Math.max(1, reading.latency() / others), 1.0 / count);
            interference.observe("pad-match", kind.name(), reading.band(), Math.min(2, ratio));
        }
    }

    private void relieve(Site site, int second) {
        site.overSeconds = site.latency > LATENCY_BOUND ? site.overSeconds + 1 : 0;
        if (site.overSeconds < EVICT_AFTER_SECONDS || site.running.isEmpty() || evictionTokens < 1) {
            return;
        }
        site.overSeconds = 0;
        evictionTokens -= 1;
        evictions++;
        Running youngest = site.running.get(site.running.size() - 1);
        remove(youngest);
        // Checkpoint and resume cost 5 s of work.
        queue.addFirst(new Waiting(youngest.kind, youngest.leftSeconds + 5));
    }

    private static void remove(Running task) {
        task.site.running.remove(task);
        task.site.worker.capacity().release(task.id);
        task.site.worker.removeTaskOfKind(task.kind.name());
    }
}
