package org.pollensill.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Host;
import org.pollensill.platform.PlatformException;
import org.pollensill.worker.Resources;

/** Shard with two processes, a store and a few workers in simulated time, deterministic for a given seed. */
final class Simulation {

    /** Fault of the next commit. */
    enum CommitFault {
        NONE,
        ANSWER_LOST,
        DELAYED,
        REFUSED
    }

    private record Event(long atNs, long number, Runnable action) {}

    static final ShardPath PATH = new ShardPath("z", 0);
    static final long MS = 1_000_000;

    final Random random;
    final FakeStore store = new FakeStore();
    final GuaranteeChecker checker = new GuaranteeChecker(store);
    final List<FakeWorker> workers = new ArrayList<>();
    final List<SimulatedProcess> processes = new ArrayList<>();
    final Map<String, JobSpec> acknowledged = new LinkedHashMap<>();
    final Set<String> cancelRequested = new HashSet<>();
    final Map<Long, ClientCall> clientCalls = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNs).thenComparingLong(Event::number));
    private long eventNumber;
    private long lastCallId;
    long nowNs;
    long viewEpoch = 1;
    int viewOwner;
    int formerOwner = -1;
    int formerIncarnation;
    long viewChangedNs;
    CommitFault commitFault = CommitFault.NONE;
    boolean storeDown;
    long slowNetworkMs;
    BatchSettings settings = BatchSettings.DEFAULTS;

    Simulation(long seed, int workerCount) {
        random = new Random(seed);
        for (int i = 0; i < workerCount; i++) {
            double rate = 0.97 + 0.06 * random.nextDouble();
            workers.add(new FakeWorker("w" + i, checker, 1_000 + random.nextInt(1_000_000), rate));
        }
        processes.add(new SimulatedProcess(this, 0));
        processes.add(new SimulatedProcess(this, 1));
        after(0, this::pollProcesses);
    }

    private void pollProcesses() {
        processes.forEach(SimulatedProcess::poll);
        after(50, this::pollProcesses);
    }

    void after(long delayMs, Runnable action) {
        events.add(new Event(nowNs + delayMs * MS, eventNumber++, action));
    }

    /** Returns the delay of a message. In a slow network some messages are delayed enough to be reordered. */
    long delayMs() {
        boolean slow = slowNetworkMs > 0 && random.nextInt(4) == 0;
        return 1 + random.nextInt(10) + (slow ? random.nextInt((int) slowNetworkMs) : 0);
    }

    void run(long ms) {
        long untilNs = nowNs + ms * MS;
        while (!events.isEmpty() && events.peek().atNs() <= untilNs) {
            Event event = events.poll();
            nowNs = event.atNs();
            workers.forEach(worker -> worker.advance(nowNs));
            event.action().run();
        }
        nowNs = untilNs;
    }

    List<Host> hosts() {
        return workers.stream().map(FakeWorker::host).toList();
    }

    FakeWorker worker(String name) {
        return workers.stream()
                .filter(worker -> worker.name.equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Moves the shard to the other process by a view change. */
    void moveShard() {
        formerOwner = viewOwner;
        formerIncarnation = processes.get(viewOwner).incarnation;
        viewOwner = 1 - viewOwner;
        viewEpoch++;
        viewChangedNs = nowNs;
        checker.addTrace("view " + viewEpoch + ": shard moves to process " + viewOwner);
        if (!processes.get(viewOwner).alive) {
            processes.get(viewOwner).restart();
        }
    }

    boolean isFormerCleared() {
        if (formerOwner < 0) {
            return true;
        }
        SimulatedProcess former = processes.get(formerOwner);
        return !former.alive || former.incarnation != formerIncarnation || former.lastReadEpoch >= viewEpoch;
    }

    /** Sends a commit to the store and returns its answer to the process. */
    void commit(SimulatedProcess from, Commit commit) {
        CommitFault fault = storeDown ? CommitFault.REFUSED : commitFault;
        commitFault = storeDown ? commitFault : CommitFault.NONE;
        after(delayMs(), () -> {
            if (fault == CommitFault.REFUSED) {
                from.answer(owner -> owner.commitFailed(nowNs, commit.commitId(), PlatformException.Effect.NONE));
            } else if (fault == CommitFault.DELAYED) {
                after(200 + random.nextInt(3_000), () -> store.commit(commit));
                from.answer(owner -> owner.commitFailed(nowNs, commit.commitId(), PlatformException.Effect.UNKNOWN));
            } else {
                Optional<Map<String, Long>> written = store.commit(commit);
                if (fault == CommitFault.ANSWER_LOST) {
                    from.answer(
                            owner -> owner.commitFailed(nowNs, commit.commitId(), PlatformException.Effect.UNKNOWN));
                } else if (written.isPresent()) {
                    from.answer(owner -> owner.committed(nowNs, commit.commitId(), written.get()));
                } else {
                    from.answer(owner -> owner.conflicted(nowNs, commit.commitId()));
                }
            }
        });
    }

    /** Delivers a call to a worker, a start sometimes twice, and returns its answer to the process. */
    void callWorker(SimulatedProcess from, Effect.CallWorker call) {
        FakeWorker worker = worker(call.worker());
        int targetIncarnation = worker.incarnation;
        boolean lost = random.nextInt(20) == 0;
        after(delayMs(), () -> {
            // A call reaches only the worker incarnation to which its connection was opened.
            if (!worker.alive || !worker.reachable || worker.incarnation != targetIncarnation || lost) {
                after(
                        2_000,
                        () -> from.answer(
                                owner -> owner.workerAnswered(nowNs, call.call(), WorkerCall.Result.UNKNOWN)));
                return;
            }
            WorkerCall.Result result = worker.call(call.call());
            boolean answerLost = random.nextInt(20) == 0;
            after(
                    delayMs(),
                    () -> from.answer(owner ->
                            owner.workerAnswered(nowNs, call.call(), answerLost ? WorkerCall.Result.UNKNOWN : result)));
        });
        if (call.call() instanceof WorkerCall.Start && random.nextInt(4) == 0) {
            after(delayMs() + random.nextInt(40_000), () -> {
                if (worker.alive && worker.reachable && worker.incarnation == targetIncarnation) {
                    worker.call(call.call());
                }
            });
        }
    }

    void report(SimulatedProcess from, FakeWorker worker, Runnable done) {
        after(delayMs(), () -> {
            if (!worker.alive || !worker.reachable) {
                after(2_000, done);
                return;
            }
            WorkerReport report = worker.report();
            after(delayMs(), () -> {
                from.answer(owner -> owner.report(nowNs, report));
                done.run();
            });
        });
    }

    void submit(String key, int tasks, int urgency, long durationMs) {
        Resources size = new Resources(1_500, 1_000, 0);
        call(new ClientCall.Submit(
                new JobSpec(key, "team" + key.length() % 2, "kind", "run", tasks, urgency, size, durationMs, true), 0));
    }

    void cancel(String jobId) {
        cancelRequested.add(jobId);
        call(new ClientCall.Cancel(jobId, "test"));
    }

    private void call(ClientCall call) {
        lastCallId++;
        clientCalls.put(lastCallId, call);
        SimulatedProcess process = processes.get(viewOwner);
        long id = lastCallId;
        process.answer(owner -> owner.client(nowNs, id, call));
    }

    void answered(long callId, ClientAnswer answer) {
        if (answer instanceof ClientAnswer.Submitted submitted) {
            acknowledged.put(submitted.job().id(), ((ClientCall.Submit) clientCalls.get(callId)).spec());
        } else if (answer instanceof ClientAnswer.Cancelled cancelled) {
            checker.addTrace("cancel of " + cancelled.job().id() + " is acknowledged");
            checker.cancelled.add(cancelled.job().id());
        }
    }

    /** Ends all faults and runs until every task that can end has ended. */
    void endFaultsAndSettle() {
        endFaults();
        run(400_000);
    }

    void endFaults() {
        storeDown = false;
        commitFault = CommitFault.NONE;
        slowNetworkMs = 0;
        settings = BatchSettings.DEFAULTS;
        for (FakeWorker worker : workers) {
            worker.reachable = true;
            worker.leaving = false;
            worker.failing = false;
            if (!worker.alive) {
                worker.boot();
            }
        }
        processes.forEach(SimulatedProcess::resume);
        if (!processes.get(viewOwner).alive) {
            moveShard();
        }
    }

    void checkNothingLost() {
        acknowledged.forEach((id, spec) -> {
            for (int i = 0; i < spec.tasks() && !cancelRequested.contains(id); i++) {
                checker.check(checker.finished.contains(new TaskId(id, i)), id + "/" + i + " is lost");
            }
        });
    }
}
