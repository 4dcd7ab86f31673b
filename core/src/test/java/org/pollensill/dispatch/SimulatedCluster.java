package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.pollensill.job.TaskName;
import org.pollensill.platform.Commit;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.runner.RunnerReport;

/** Virtual time, runners and a network that delays messages, loses answers and delivers late; it checks the runs. */
final class SimulatedCluster implements SimulatedRunner.Observer {

    static final int TIMEOUT_MS = 700;
    private static final int MIN_DOWN_MS = 20;
    private static final int MAX_DOWN_MS = 600;
    private static final int MAX_LIST_LAG_MS = 1_500;
    private static final int MAX_ANSWER_DELAY_MS = 4_000;
    private static final int MAX_LATE_EFFECT_MS = 3_500;

    private record Event(long atMs, long number, Runnable action) {}

    final SimulatedStore store = new SimulatedStore();
    final Map<String, SimulatedRunner> runners = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    final WithoutRunTimes withoutRun = new WithoutRunTimes();
    private final Set<String> partitioned = new HashSet<>();
    private final Map<TaskName, String> runningOn = new HashMap<>();
    private final Set<TaskName> acknowledged = new HashSet<>();
    private final Map<TaskName, Long> begunAtMs = new HashMap<>();
    private final Map<String, RunnerEntry> published = new HashMap<>();
    private final Map<String, Long> hiddenUntilMs = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Long.compare(a.atMs(), b.atMs()) : Long.compare(a.number(), b.number()));
    private final Random random;
    private final ModelSettings settings;
    private final List<String> trace = new ArrayList<>();
    private int addressCount;
    private double lossProbability;
    private long nowMs = 1_000;
    private long eventNumber;

    SimulatedCluster(long seed, int runnerCount, ModelSettings settings) {
        this.random = new Random(seed);
        this.settings = settings;
        for (int i = 0; i < runnerCount; i++) {
            String id = "r" + i;
            SimulatedRunner runner = new SimulatedRunner(id, newAddress(), 1, settings.nextLives(), this);
            runners.put(id, runner);
            published.put(id, entry(runner));
        }
    }

    private String newAddress() {
        addressCount++;
        return "10.0.0." + addressCount + ":80";
    }

    private static RunnerEntry entry(SimulatedRunner runner) {
        RunnerEntry sample = Samples.runner(runner.id, runner.incarnationStartMs, false);
        return new RunnerEntry(
                sample.id(),
                sample.service(),
                runner.address,
                sample.zone(),
                sample.draining(),
                sample.remainingMs(),
                sample.capacity(),
                sample.labels(),
                sample.incarnationStartMs());
    }

    ModelSettings settings() {
        return settings;
    }

    void trace(String text) {
        trace.add(nowMs + " " + text);
    }

    /** Returns the events of the play that name a text, in the order of time. */
    List<String> traceOf(String text) {
        List<String> found = new ArrayList<>();
        for (String line : trace) {
            if (line.contains(text)) {
                found.add(line);
            }
        }
        return found;
    }

    Random random() {
        return random;
    }

    long nowMs() {
        return nowMs;
    }

    void setLossProbability(double share) {
        lossProbability = share;
    }

    void partition(String runner) {
        partitioned.add(runner);
    }

    void heal() {
        partitioned.clear();
    }

    void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventNumber++, action));
    }

    void runUntil(long untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Event event = events.poll();
            nowMs = Math.max(nowMs, event.atMs());
            runners.values().forEach(runner -> runner.advance(nowMs));
            event.action().run();
        }
        nowMs = untilMs;
        runners.values().forEach(runner -> runner.advance(nowMs));
    }

    List<RunnerEntry> listed() {
        List<RunnerEntry> entries = new ArrayList<>();
        for (String id : runners.keySet()) {
            if (nowMs >= hiddenUntilMs.getOrDefault(id, 0L)) {
                entries.add(published.get(id));
            }
        }
        return entries;
    }

    /** Hides the entry of a runner for a while. */
    void hide(String runner, long durationMs) {
        trace("hidden " + runner + " for " + durationMs);
        hiddenUntilMs.put(runner, nowMs + durationMs);
    }

    /** Restarts a runner, which may move to another address. */
    void restart(String id) {
        SimulatedRunner runner = runners.get(id);
        if (!runner.isUp(nowMs)) {
            return;
        }
        String formerAddress = runner.address;
        boolean moves = settings.addressesMove() && random.nextBoolean();
        if (moves) {
            runner.address = newAddress();
        }
        beginNextLife(runner);
        if (!moves || random.nextBoolean()) {
            return;
        }
        SimulatedRunner other = runners.get("r" + random.nextInt(runners.size()));
        if (other != runner && other.isUp(nowMs)) {
            other.address = formerAddress;
            beginNextLife(other);
        }
    }

    private void beginNextLife(SimulatedRunner runner) {
        long downMs = settings.nextLives() ? MIN_DOWN_MS + random.nextInt(MAX_DOWN_MS - MIN_DOWN_MS) : 0;
        boolean clockGoesOn = settings.nextLives() && random.nextInt(4) == 0;
        runner.restart(nowMs + downMs, clockGoesOn);
        trace("restart " + runner.id + " life " + runner.incarnationStartMs + " at " + runner.address + " down "
                + downMs + (clockGoesOn ? " clock goes on" : ""));
        long lagMs = settings.listLags() ? random.nextInt(MAX_LIST_LAG_MS) : 0;
        RunnerEntry next = entry(runner);
        if (downMs + lagMs == 0) {
            published.put(runner.id, next);
            return;
        }
        after(downMs + lagMs, () -> {
            if (published.get(runner.id).incarnationStartMs() < next.incarnationStartMs()) {
                trace("listed " + runner.id + " life " + next.incarnationStartMs() + " at " + next.address());
                published.put(runner.id, next);
            }
        });
    }

    void callStore(Commit commit, SimulatedLeader.CommitCallback answered, Runnable onTimeout) {
        boolean answerLost = random.nextDouble() < lossProbability;
        boolean late = answerLost && random.nextBoolean();
        int effectMs = late ? 1_000 + random.nextInt(4_000) : 2 + random.nextInt(4);
        int answerMs = 2;
        if (settings.storeSlow()) {
            effectMs = late ? random.nextInt(5_000) : 2 + random.nextInt(random.nextInt(5) == 0 ? 300 : 4);
            answerMs = 2 + random.nextInt(random.nextInt(5) == 0 ? 300 : 4);
        }
        int answerDelayMs = answerMs;
        after(effectMs, () -> {
            var outcome = store.commit(commit);
            if (!answerLost) {
                after(answerDelayMs, () -> answered.accept(outcome));
            }
        });
        if (answerLost) {
            after(TIMEOUT_MS, onTimeout);
        }
    }

    void order(RunnerAddress to, Function<SimulatedRunner, OrderAnswer> effect, Consumer<OrderAnswer> answered) {
        deliver(to, effect, answered, outcome -> new OrderAnswer(outcome, Optional.empty()));
    }

    void renewLease(
            RunnerAddress to, Function<SimulatedRunner, RenewalAnswer> effect, Consumer<RenewalAnswer> answered) {
        deliver(to, effect, answered, outcome -> new RenewalAnswer(outcome, Optional.empty()));
    }

    private <T> void deliver(
            RunnerAddress to,
            Function<SimulatedRunner, T> effect,
            Consumer<T> answered,
            Function<OrderOutcome, T> withoutReport) {
        T noAnswer = withoutReport.apply(OrderOutcome.UNANSWERED);
        if (partitioned.contains(to.id())) {
            after(TIMEOUT_MS, () -> answered.accept(noAnswer));
            return;
        }
        Optional<SimulatedRunner> addressed = at(to);
        if (addressed.isEmpty() || !addressed.get().isUp(nowMs)) {
            boolean silent = random.nextBoolean();
            T outcome = silent ? noAnswer : withoutReport.apply(OrderOutcome.NOT_SENT);
            after(silent ? TIMEOUT_MS : 1 + random.nextInt(5), () -> answered.accept(outcome));
            return;
        }
        SimulatedRunner runner = addressed.get();
        if (!runner.id.equals(to.id())) {
            T outcome = withoutReport.apply(OrderOutcome.OTHER_RUNNER);
            boolean slow = settings.lateAnswers() && random.nextInt(4) == 0;
            after(2 + random.nextInt(slow ? TIMEOUT_MS - 10 : 10), () -> answered.accept(outcome));
            return;
        }
        boolean answerLost = random.nextDouble() < lossProbability;
        if (settings.lateAnswers() && answerLost && random.nextInt(4) != 0) {
            deliverLate(runner, effect, answered, noAnswer);
            return;
        }
        boolean late = answerLost && random.nextBoolean();
        long incarnationStartMs = runner.incarnationStartMs;
        after(late ? 2_000 + random.nextInt(10_000) : 1 + random.nextInt(5), () -> {
            if (runner.incarnationStartMs != incarnationStartMs) {
                // The connection was closed when the runner process ended.
                if (!answerLost) {
                    answered.accept(noAnswer);
                }
                return;
            }
            T answer = effect.apply(runner);
            if (!answerLost) {
                boolean slow = settings.lateAnswers() && random.nextInt(10) == 0;
                after(1 + random.nextInt(slow ? TIMEOUT_MS - 10 : 5), () -> answered.accept(answer));
            }
        });
        if (answerLost) {
            after(TIMEOUT_MS, () -> answered.accept(noAnswer));
        }
    }

    /** Delivers an answer after it was reported as missing, unless its connection is closed before. */
    private <T> void deliverLate(
            SimulatedRunner runner, Function<SimulatedRunner, T> effect, Consumer<T> answered, T noAnswer) {
        long incarnationStartMs = runner.incarnationStartMs;
        int effectMs = random.nextBoolean() ? 1 + random.nextInt(5) : 1 + random.nextInt(MAX_LATE_EFFECT_MS);
        int answerMs = Math.max(effectMs + 1, TIMEOUT_MS + random.nextInt(MAX_ANSWER_DELAY_MS - TIMEOUT_MS));
        after(effectMs, () -> {
            if (runner.incarnationStartMs != incarnationStartMs) {
                return;
            }
            T answer = effect.apply(runner);
            after(answerMs - effectMs, () -> {
                if (runner.incarnationStartMs == incarnationStartMs) {
                    answered.accept(answer);
                }
            });
        });
        after(TIMEOUT_MS, () -> answered.accept(noAnswer));
    }

    private Optional<SimulatedRunner> at(RunnerAddress to) {
        if (!settings.addressesMove()) {
            return Optional.of(runners.get(to.id()));
        }
        for (SimulatedRunner runner : runners.values()) {
            if (runner.address.equals(to.address())) {
                return Optional.of(runner);
            }
        }
        return Optional.empty();
    }

    private void violation(String text) {
        trace("VIOLATION " + text);
        violations.add(nowMs + ": " + text);
    }

    @Override
    public void onBegin(String runner, TaskName task, int run) {
        trace("begin " + task + " run " + run + " on " + runner + " life " + runners.get(runner).incarnationStartMs);
        String other = runningOn.put(task, runner);
        if (other != null) {
            violation(task + " run " + run + " begins on " + runner + " while it runs on " + other);
        }
        if (acknowledged.contains(task)) {
            violation(task + " run " + run + " begins after its end was acknowledged");
        }
        begunAtMs.put(task, nowMs);
        withoutRun.onBegin(task, nowMs);
    }

    @Override
    public void onEnd(String runner, TaskName task, int run, EndKind kind) {
        trace("end " + task + " run " + run + " on " + runner + " " + kind);
        runningOn.remove(task, runner);
        withoutRun.onEnd(task, kind, nowMs);
    }

    @Override
    public void onCrash(String runner, TaskName task, int run) {
        trace("crash " + task + " run " + run + " on " + runner);
        runningOn.remove(task, runner);
        withoutRun.onCrash(task, nowMs);
    }

    @Override
    public void onAcknowledged(String runner, RunnerReport.EndedRun end, long endedAtMs) {
        trace("acknowledged " + end.task() + " run " + end.run() + " on " + runner + " " + end.kind() + " number "
                + end.sequence());
        if (end.kind() != EndKind.DONE) {
            return;
        }
        acknowledged.add(end.task());
        if (begunAtMs.getOrDefault(end.task(), 0L) > endedAtMs) {
            violation(end.task() + " began after its end, which is acknowledged later");
        }
    }
}
