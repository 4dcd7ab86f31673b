package org.pollensill.zone;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Row;

/**
 * Deterministic simulation of several members with a shared row and a network with faults. Times are nanoseconds of the
 * simulated reference clock, from which the clocks of the processes deviate.
 */
final class ZoneSimulation {

    static final long MS = ZoneTiming.NS_PER_MS;
    static final String KEY = "view/entry/caxias";
    /**
     * Max time between a check of the share and the action that relies on it. The takeover wait of 2.3 s lasts 2190 ms
     * on a clock that is 5% fast, and the confirmation of a former owner with a slow clock lasts 2000 ms.
     */
    static final long MAX_ACTION_DELAY_NS = 185 * MS;

    private record Event(long atNs, long order, Runnable action) {}

    final Random random;
    final long seed;
    final int slices;
    final List<SimulatedProcess> processes = new ArrayList<>();
    final Set<String> blockedLinks = new HashSet<>();
    final List<String> trace = new ArrayList<>();
    long nowNs = 1000 * MS;
    boolean storeDown;
    /** Whether messages and commits with a long delay are dropped. */
    boolean healed;
    /** Probabilities in percent: loss of a message or a read, loss of the answer to a commit, delay of a commit. */
    int lossPercent;

    int lostAnswerPercent;
    int lateCommitPercent;
    Optional<Row> row = Optional.empty();
    int commitCount;

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atNs() != b.atNs() ? Long.compare(a.atNs(), b.atNs()) : Long.compare(a.order(), b.order()));
    private long order;
    private int incarnationCount;

    ZoneSimulation(long seed, int slices) {
        this.seed = seed;
        random = new Random(seed);
        this.slices = slices;
        sample();
    }

    SimulatedProcess start(String name) {
        incarnationCount++;
        MemberId id = new MemberId(name, "127.0.0.1:" + name, "i" + incarnationCount);
        List<String> peers = processes.stream()
                .map(process -> process.id.address())
                .distinct()
                .filter(address -> !address.equals(id.address()))
                .toList();
        SimulatedProcess process = new SimulatedProcess(this, id, peers, 1 + random.nextInt(50) / 1000.0);
        processes.add(process);
        process.tick();
        return process;
    }

    List<SimulatedProcess> live() {
        return processes.stream().filter(process -> !process.killed).toList();
    }

    void traceEvent(String text) {
        trace.add(nowNs / MS + " " + text);
    }

    void after(long delayNs, Runnable action) {
        order++;
        events.add(new Event(nowNs + delayNs, order, action));
    }

    void run(long durationNs) {
        long endNs = nowNs + durationNs;
        while (!events.isEmpty() && events.peek().atNs() <= endNs) {
            Event event = events.poll();
            nowNs = Math.max(nowNs, event.atNs());
            event.action().run();
        }
        nowNs = endNs;
    }

    /** Runs until every slice has an owner with the full share. Returns the elapsed time, or -1 after the max time. */
    long runUntilFull(long maxNs) {
        long startNs = nowNs;
        while (nowNs - startNs <= maxNs) {
            if (isFull()) {
                return nowNs - startNs;
            }
            run(10 * MS);
        }
        return -1;
    }

    boolean isFull() {
        for (int slice = 0; slice < slices; slice++) {
            int number = slice;
            if (live().stream().noneMatch(process -> process.share(number) == Share.FULL)) {
                return false;
            }
        }
        return true;
    }

    private void sample() {
        live().forEach(SimulatedProcess::sample);
        for (int slice = 0; slice < slices; slice++) {
            int halves = 0;
            for (SimulatedProcess process : processes) {
                halves += process.halvesInUse(slice);
            }
            if (halves > 2) {
                int number = slice;
                String users = processes.stream()
                        .filter(process -> process.halvesInUse(number) > 0)
                        .map(process -> process + "=" + process.halvesInUse(number))
                        .collect(Collectors.joining(", "));
                throw new AssertionError("seed " + seed + ": slice " + slice + " is overcommitted by " + users + " at "
                        + nowNs / MS + " ms, row " + row + "\n" + String.join("\n", trace));
            }
        }
        after(10 * MS, this::sample);
    }

    private long delay() {
        return random.nextInt(20) == 0 ? random.nextInt(400) * MS : (200 + random.nextInt(3000)) * 1000L;
    }

    boolean isBlocked(String from, String to) {
        return blockedLinks.contains(from + ">" + to);
    }

    /** Sends a message to an address. A message on a blocked link is lost or delayed. */
    void send(SimulatedProcess from, String address, BiConsumer<SimulatedProcess, List<Effect>> handler) {
        String to = address.substring(address.indexOf(':') + 1);
        long sentNs = nowNs;
        long attemptNs = from.clock();
        long delayNs = delay();
        if (isBlocked(from.id.name(), to) || random.nextInt(100) < lossPercent) {
            if (random.nextBoolean()) {
                return;
            }
            delayNs = random.nextInt(20_000) * MS;
        }
        after(delayNs, () -> {
            Optional<SimulatedProcess> receiver = live().stream()
                    .filter(process -> process.id.address().equals(address))
                    .findFirst();
            boolean late = nowNs - sentNs > 1000 * MS;
            if (isBlocked(from.id.name(), to) || late && healed) {
                return;
            }
            if (receiver.isEmpty()) {
                if (!isBlocked(to, from.id.name())) {
                    from.execute(
                            effects -> effects.addAll(from.member.connectionRefused(address, attemptNs, from.clock())));
                }
                return;
            }
            SimulatedProcess process = receiver.get();
            process.execute(effects -> {
                handler.accept(process, effects);
                if (!late && !isBlocked(to, from.id.name())) {
                    String incarnation = process.id.incarnation();
                    after(
                            delay(),
                            () -> from.execute(answered -> answered.addAll(
                                    from.member.incarnationSeen(address, incarnation, attemptNs, from.clock()))));
                }
            });
        });
    }

    private boolean isStoreUnreachable(SimulatedProcess process) {
        return storeDown || isBlocked(process.id.name(), "store");
    }

    void read(SimulatedProcess from, long readId) {
        after(delay(), () -> {
            if (isStoreUnreachable(from) || random.nextInt(100) < lossPercent) {
                after(500 * MS, () -> from.execute(effects -> from.member.readFailed(readId)));
                return;
            }
            Optional<Row> found = row;
            after(
                    delay(),
                    () -> from.execute(
                            effects -> effects.addAll(from.member.readSucceeded(readId, found, from.clock()))));
        });
    }

    void commit(SimulatedProcess from, Commit commit) {
        int chance = random.nextInt(100);
        boolean late = chance < lateCommitPercent;
        boolean lost = late || chance < lateCommitPercent + lostAnswerPercent;
        if (late) {
            after(
                    500 * MS,
                    () -> from.execute(effects -> effects.addAll(from.member.commitFailed(commit.commitId(), true))));
        }
        after(late ? random.nextInt(15_000) * MS : delay(), () -> {
            if (late && healed) {
                return;
            }
            if (isStoreUnreachable(from) && !late) {
                boolean unknown = random.nextBoolean();
                after(
                        delay(),
                        () -> from.execute(
                                effects -> effects.addAll(from.member.commitFailed(commit.commitId(), unknown))));
                return;
            }
            long version = row.map(Row::version).orElse(0L);
            boolean holds = commit.conditions().get(0).version() == version;
            if (holds) {
                String value = commit.writes().get(0).value().orElseThrow();
                row = Optional.of(new Row(KEY, version + 1, value));
                commitCount++;
                traceEvent("committed " + commit.commitId() + " as version " + (version + 1) + ": " + value);
            }
            if (lost) {
                after(
                        500 * MS,
                        () -> from.execute(
                                effects -> effects.addAll(from.member.commitFailed(commit.commitId(), true))));
            } else if (holds) {
                after(
                        delay(),
                        () -> from.execute(effects -> effects.addAll(
                                from.member.commitSucceeded(commit.commitId(), version + 1, from.clock()))));
            } else {
                after(
                        delay(),
                        () -> from.execute(effects -> effects.addAll(from.member.commitConflicted(commit.commitId()))));
            }
        });
    }
}
