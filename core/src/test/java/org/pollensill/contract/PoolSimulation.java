package org.pollensill.contract;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.pollensill.upstream.EjectionPolicy;
import org.pollensill.upstream.SlotAllowance;

import static org.pollensill.contract.TestContracts.MS;

/** Discrete-event simulation of an {@link OwnerPool} in virtual time, with random arrivals and service times. */
final class PoolSimulation {

    /**
     * Offered load of one kind.
     *
     * @param contract the kind's contract
     * @param erlangs mean number of slots that the offered requests would occupy
     * @param serviceMs mean service time
     * @param callers number of callers
     */
    record Load(KindContract contract, double erlangs, double serviceMs, int callers) {}

    /**
     * Result of one kind in the measured period.
     *
     * @param offered submitted requests
     * @param answered requests answered within their deadline
     * @param p99Ms 99th percentile of the latency of answered requests
     * @param usefulShare share of the total slot time used by requests that were answered in the period
     */
    record Result(int offered, int answered, double p99Ms, double usefulShare) {}

    private record Event(long atNs, long order, Runnable action) {}

    private static final double SIGMA = 0.5;

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atNs != b.atNs ? Long.compare(a.atNs, b.atNs) : Long.compare(a.order, b.order));
    private final Map<String, Long> arrivedNs = new HashMap<>();
    private final Map<String, Long> serviceNs = new HashMap<>();
    private final Map<String, List<Long>> latencies = new HashMap<>();
    private final Map<String, Integer> offered = new HashMap<>();
    private final Map<String, Long> usefulNs = new HashMap<>();
    /**
     * One source per kind, so that a flood of one kind does not change the arrivals and service times of the others.
     */
    private final Map<String, Random> randoms = new HashMap<>();

    private final long seed;
    private final OwnerPool pool;
    private final int upstreams;
    private final long warmUpNs;
    private final long endNs;
    private long nowNs;
    private long nextOrder;
    private int lastId;

    PoolSimulation(ServiceContract service, int upstreams, long seed, long warmUpMs, long lengthMs) {
        this.seed = seed;
        this.upstreams = upstreams;
        this.warmUpNs = warmUpMs * MS;
        this.endNs = (warmUpMs + lengthMs) * MS;
        pool = OwnerPool.of(service, EjectionPolicy.standard(), new Random(seed + 1), 0);
        for (int i = 0; i < upstreams; i++) {
            pool.addUpstream("u" + i, 8, 64, SlotAllowance.FULL, 0);
        }
    }

    Map<String, Result> run(List<Load> loads) {
        loads.forEach(load -> {
            latencies.put(load.contract.kind(), new ArrayList<>());
            randoms.put(
                    load.contract.kind(), new Random(seed + load.contract.kind().hashCode()));
            schedule(nextArrival(load), () -> submitRequest(load));
        });
        schedule(0, this::tick);
        while (!events.isEmpty() && events.peek().atNs <= endNs) {
            Event event = events.poll();
            nowNs = event.atNs;
            event.action.run();
        }
        Map<String, Result> results = new HashMap<>();
        loads.forEach(load -> results.put(load.contract.kind(), result(load.contract.kind())));
        return results;
    }

    private Result result(String kind) {
        long[] sorted =
                latencies.get(kind).stream().mapToLong(Long::longValue).sorted().toArray();
        double p99Ms = sorted.length == 0 ? 0 : sorted[(int) (sorted.length * 0.99)] / (double) MS;
        double slotTimeNs = (double) (endNs - warmUpNs) * upstreams * 8;
        return new Result(
                offered.getOrDefault(kind, 0), sorted.length, p99Ms, usefulNs.getOrDefault(kind, 0L) / slotTimeNs);
    }

    private void submitRequest(Load load) {
        Random random = randoms.get(load.contract.kind());
        schedule(nextArrival(load), () -> submitRequest(load));
        String id = "r" + ++lastId;
        KindContract kind = load.contract;
        if (nowNs >= warmUpNs) {
            offered.merge(kind.kind(), 1, Integer::sum);
        }
        arrivedNs.put(id, nowNs);
        // Lognormal with a mean of 1.
        double factor = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
        serviceNs.put(id, (long) (load.serviceMs * factor * MS));
        apply(pool.submit(
                new RequestDescription(
                        id,
                        kind.kind(),
                        "c" + random.nextInt(load.callers),
                        kind.idempotent(),
                        Deadline.after(nowNs, kind.deadlineMs())),
                nowNs));
    }

    private long nextArrival(Load load) {
        double meanNs = load.serviceMs * MS / load.erlangs;
        return nowNs + (long) (-Math.log(1 - randoms.get(load.contract.kind()).nextDouble()) * meanNs);
    }

    private void tick() {
        schedule(nowNs + 5 * MS, this::tick);
        apply(pool.tick(nowNs));
    }

    private void apply(List<PoolEffect> effects) {
        for (PoolEffect effect : effects) {
            if (effect instanceof PoolEffect.Dispatch dispatch) {
                Attempt attempt = dispatch.attempt();
                schedule(nowNs + serviceNs.get(attempt.requestId()), () -> {
                    apply(pool.answered(attempt, false, nowNs));
                    serviceNs.remove(attempt.requestId());
                });
            } else if (effect instanceof PoolEffect.Answer answer) {
                recordAnswer(answer.request());
            } else if (effect instanceof PoolEffect.Refuse refuse) {
                arrivedNs.remove(refuse.request().requestId());
                if (refuse.refusal().reason().notRun()) {
                    serviceNs.remove(refuse.request().requestId());
                }
            } else if (effect instanceof PoolEffect.Probe probe) {
                schedule(nowNs + MS, () -> apply(pool.probed(probe.upstream(), true, false, nowNs)));
            }
        }
    }

    private void recordAnswer(RequestDescription request) {
        long arrived = arrivedNs.remove(request.requestId());
        if (arrived >= warmUpNs) {
            latencies.get(request.kind()).add(nowNs - arrived);
        }
        if (nowNs >= warmUpNs) {
            usefulNs.merge(request.kind(), serviceNs.get(request.requestId()), Long::sum);
        }
    }

    private void schedule(long atNs, Runnable action) {
        events.add(new Event(atNs, nextOrder++, action));
    }

    /** Returns the loads with the offered load of one kind replaced. */
    static List<Load> flooded(List<Load> loads, String kind, double erlangs) {
        return loads.stream()
                .map(load -> load.contract.kind().equals(kind)
                        ? new Load(load.contract, erlangs, load.serviceMs, load.callers)
                        : load)
                .toList();
    }

    static ServiceContract service(List<Load> loads) {
        return TestContracts.service(loads.stream().map(Load::contract).toArray(KindContract[]::new));
    }

    static double totalUsefulShare(Map<String, Result> results) {
        return results.values().stream().mapToDouble(Result::usefulShare).sum();
    }

    static String describe(Map<String, Result> results) {
        return Arrays.toString(results.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> entry.getKey() + " " + entry.getValue())
                .toArray());
    }
}
