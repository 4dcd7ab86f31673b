package org.pollensill.contract;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pollensill.upstream.EjectionPolicy;
import org.pollensill.upstream.SlotAllowance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.pollensill.contract.TestContracts.MS;
import static org.pollensill.contract.TestContracts.kind;

/**
 * Guards against overloaded upstreams, wrong outcomes, duplicate runs and lost requests under random sequences of
 * events: lost and late answers, upstreams that hang, leave, change owner or are restricted, and callers that
 * disconnect.
 */
class OwnerPoolPropertyTest {

    private static final ServiceContract SERVICE = TestContracts.service(
            kind("match", 0, 0.3, 1, 10, 300, 8, true),
            kind("plan", 1, 0.2, 0.6, 10, 900, 3, true),
            kind("order", 1, 0.2, 1, 10, 500, 4, false));
    private static final List<String> KINDS = List.of("match", "plan", "order", "unnamed");

    /** A request that runs at an upstream, possibly still after its connection was closed. */
    private static final class UpstreamRun {
        private final Attempt attempt;
        private final String kind;
        private final long endNs;
        private boolean started;
        private boolean connected = true;

        UpstreamRun(Attempt attempt, String kind, long endNs) {
            this.attempt = attempt;
            this.kind = kind;
            this.endNs = endNs;
        }
    }

    private static final class Model {
        private final Random random;
        private final OwnerPool pool;
        private final List<UpstreamRun> runs = new ArrayList<>();
        private final Map<String, Integer> started = new HashMap<>();
        private final Set<String> open = new HashSet<>();
        private final Set<String> notRun = new HashSet<>();
        private final Map<String, SlotAllowance> allowances = new HashMap<>();
        private long nowNs;
        private int lastId;

        Model(long seed) {
            random = new Random(seed);
            pool = OwnerPool.of(SERVICE, EjectionPolicy.standard(), new Random(seed), 0);
            for (String name : List.of("u1", "u2", "u3")) {
                add(name);
            }
        }

        private void add(String name) {
            allowances.put(name, SlotAllowance.FULL);
            apply(pool.addUpstream(name, 8, 64, SlotAllowance.FULL, nowNs));
        }

        void step() {
            nowNs += random.nextLong(6 * MS);
            runs.removeIf(run -> !run.connected && run.endNs <= nowNs);
            String name = "u" + (1 + random.nextInt(3));
            switch (random.nextInt(60)) {
                case 0 -> {
                    SlotAllowance allowance = SlotAllowance.values()[random.nextInt(SlotAllowance.values().length)];
                    allowances.put(name, allowance);
                    apply(pool.setAllowance(List.of(name), allowance, nowNs));
                }
                case 1 -> apply(pool.removeUpstream(name, nowNs));
                case 2, 3 -> add(name);
                case 4 -> apply(pool.hostStateChanged(name, random.nextInt(3) > 0, nowNs));
                case 5 -> apply(pool.probed(name, random.nextInt(3) > 0, random.nextInt(9) == 0, nowNs));
                case 6, 7, 8 -> apply(pool.tick(nowNs));
                case 9 ->
                    open.stream().sorted().findFirst().ifPresent(id -> {
                        open.remove(id);
                        apply(pool.cancel(id, nowNs));
                    });
                default -> {
                    if (random.nextInt(3) > 0) {
                        submit();
                    } else {
                        end();
                    }
                }
            }
            check();
        }

        private void submit() {
            String id = "r" + ++lastId;
            String kind = KINDS.get(random.nextInt(KINDS.size()));
            open.add(id);
            apply(pool.submit(
                    new RequestDescription(
                            id,
                            kind,
                            "c" + random.nextInt(3),
                            kind.equals("match") || kind.equals("plan"),
                            Deadline.after(nowNs, random.nextInt(400))),
                    nowNs));
        }

        private void apply(List<PoolEffect> effects) {
            for (PoolEffect effect : effects) {
                if (effect instanceof PoolEffect.Dispatch dispatch) {
                    dispatch(dispatch.attempt(), dispatch.request());
                } else if (effect instanceof PoolEffect.Answer answer) {
                    recordAnswer(answer.request());
                } else if (effect instanceof PoolEffect.Refuse refuse) {
                    if (refuse.refusal().reason().notRun()) {
                        notRun.add(refuse.request().requestId());
                    }
                    if (refuse.refusal().reason() != Refusal.Reason.CANCELLED) {
                        open.remove(refuse.request().requestId());
                    }
                } else if (effect instanceof PoolEffect.CloseConnection close) {
                    runs.stream()
                            .filter(run -> run.attempt == close.attempt())
                            .findFirst()
                            .ifPresent(this::close);
                }
            }
        }

        private void recordAnswer(RequestDescription request) {
            assertTrue(open.remove(request.requestId()), () -> request + " was answered twice");
        }

        private void dispatch(Attempt attempt, RequestDescription request) {
            String kind = KINDS.contains(request.kind()) ? request.kind() : "unnamed";
            long boundMs =
                    SERVICE.kind(kind).map(KindContract::executionBoundMs).orElse(SERVICE.deadlineMs());
            UpstreamRun run = new UpstreamRun(
                    attempt, kind, nowNs + (random.nextBoolean() ? boundMs : 1 + random.nextLong(boundMs)) * MS);
            if (random.nextInt(12) == 0) {
                apply(pool.notWritten(attempt, random.nextBoolean(), nowNs));
                return;
            }
            int runCount = started.merge(request.requestId(), 1, Integer::sum);
            assertTrue(request.idempotent() || runCount == 1, () -> request + " ran twice");
            run.started = true;
            runs.add(run);
        }

        private void end() {
            List<UpstreamRun> connected =
                    runs.stream().filter(run -> run.connected).toList();
            if (connected.isEmpty()) {
                return;
            }
            UpstreamRun run = connected.get(random.nextInt(connected.size()));
            switch (random.nextInt(6)) {
                case 0 -> close(run);
                case 1 -> {
                    started.merge(run.attempt.requestId(), -1, Integer::sum);
                    runs.remove(run);
                    boolean leaving = random.nextInt(4) == 0;
                    apply(pool.failed(
                            run.attempt, leaving ? AttemptFailure.REFUSED_LEAVING : AttemptFailure.REFUSED, nowNs));
                }
                default -> {
                    runs.remove(run);
                    apply(pool.answered(run.attempt, random.nextInt(9) == 0, nowNs));
                }
            }
        }

        private void close(UpstreamRun run) {
            run.connected = false;
            if (run.endNs <= nowNs) {
                runs.remove(run);
            }
            AttemptFailure failure = AttemptFailure.values()[random.nextInt(3)];
            apply(pool.failed(run.attempt, failure, nowNs));
        }

        private void check() {
            for (String name : allowances.keySet()) {
                Predicate<UpstreamRun> atUpstream =
                        run -> run.attempt.upstream().equals(name);
                assertTrue(
                        runs.stream().filter(atUpstream).count() <= 8,
                        () -> name + " runs more requests than its limit");
                KINDS.forEach(kind -> {
                    int cap = SERVICE.kind(kind)
                            .map(KindContract::slotsPerUpstreamCap)
                            .orElse(1);
                    long count = runs.stream()
                            .filter(atUpstream)
                            .filter(run -> run.kind.equals(kind))
                            .count();
                    assertTrue(count <= cap, () -> count + " of " + kind + " at " + name);
                });
            }
            notRun.forEach(
                    id -> assertEquals(0, started.getOrDefault(id, 0), () -> id + " ran and was reported as not run"));
        }

        void settle() {
            for (int i = 0; i < 400; i++) {
                nowNs += 10 * MS;
                apply(pool.tick(nowNs));
            }
            assertEquals(Set.of(), open, "requests without an answer");
            assertEquals(0, pool.pending());
            pool.load().kinds().forEach(kind -> assertEquals(0, kind.running(), "slots that were not freed"));
        }
    }

    @Property(tries = 300, seed = "310")
    void shouldKeepLimitsAndReportCorrectOutcomesUnderRandomEvents(@ForAll long seed) {
        Model model = new Model(seed);
        for (int i = 0; i < 1500; i++) {
            model.step();
        }
        model.settle();
    }
}
