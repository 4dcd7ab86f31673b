package org.pollensill.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Host;
import org.pollensill.platform.PlatformException;
import org.pollensill.worker.Resources;

/** Owner whose store answers immediately and whose calls to workers are recorded for the test to answer. */
final class OwnerHarness {

    static final ShardPath PATH = new ShardPath("z", 0);
    static final long MS = 1_000_000;

    final FakeStore store;
    final ShardOwner owner;
    final List<WorkerCall> calls = new ArrayList<>();
    final List<ClientAnswer> answers = new ArrayList<>();
    final Deque<Simulation.CommitFault> faults = new ArrayDeque<>();
    final List<Commit> commits = new ArrayList<>();
    long nowNs;
    private long lastCallId;

    OwnerHarness(FakeStore store, String name, long nowNs) {
        this.store = store;
        this.nowNs = nowNs;
        this.owner = ShardOwner.of(PATH, name, new Random(name.hashCode()));
    }

    static OwnerHarness owning(int workers) {
        OwnerHarness harness = new OwnerHarness(new FakeStore(), "a", 0);
        harness.hosts(workers, 4_000);
        harness.takeOwnership(1, true);
        return harness;
    }

    void hosts(int workers, int processorsMillicores) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            hosts.add(host(i, processorsMillicores, Host.State.LIVE));
        }
        owner.updateHosts(hosts);
    }

    static Host host(int index, int processorsMillicores, Host.State state) {
        String name = "w" + index;
        return new Host(
                name, name, Host.Role.WORKER, "", "r", "z", "k", state, processorsMillicores, 1_000_000, 0, 0, 0);
    }

    void takeOwnership(long epoch, boolean formerOwnerResolved) {
        execute(owner.updateOwnership(nowNs, new Ownership(Ownership.State.CONFIRMED, epoch, formerOwnerResolved)));
        advance(1_000);
    }

    void advance(long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
            nowNs += 50 * MS;
            execute(owner.tick(nowNs));
        }
    }

    /** Delivers a report of a worker whose clock shows the harness's time. */
    void report(int worker, long epoch, WorkerReport.TaskReport... entries) {
        execute(owner.report(nowNs, new WorkerReport("w" + worker, nowNs / MS, epoch, List.of(entries), 0)));
        advance(500);
    }

    static WorkerReport.TaskReport entry(String task, int attempt, WorkerReport.State state, String checkpointId) {
        TaskId id = TaskId.parse(task).orElseThrow();
        return new WorkerReport.TaskReport(id, attempt, state, "exit 1", checkpointId, Resources.NONE, 0);
    }

    static WorkerReport.TaskReport running(String task, int attempt) {
        return entry(task, attempt, WorkerReport.State.RUNNING, "");
    }

    static JobSpec spec(String key, String team, int tasks, int urgency, long processorsMillicores) {
        Resources size = new Resources(processorsMillicores, 1_000, 0);
        return new JobSpec(key, team, "kind", "run", tasks, urgency, size, 60_000, true);
    }

    ClientAnswer submit(JobSpec spec) {
        client(new ClientCall.Submit(spec, 0));
        advance(500);
        return answers.get(answers.size() - 1);
    }

    void client(ClientCall call) {
        execute(owner.client(nowNs, ++lastCallId, call));
    }

    ClientAnswer.JobView show(String job) {
        client(new ClientCall.Show(job));
        return ((ClientAnswer.Shown) answers.get(answers.size() - 1)).job();
    }

    ClientAnswer.TaskView explain(String task) {
        client(new ClientCall.Explain(TaskId.parse(task).orElseThrow()));
        return ((ClientAnswer.Explained) answers.get(answers.size() - 1)).task();
    }

    void answered(WorkerCall call, WorkerCall.Result result) {
        execute(owner.workerAnswered(nowNs, call, result));
    }

    <T extends WorkerCall> List<T> calls(Class<T> type) {
        return calls.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends WorkerCall> T last(Class<T> type) {
        List<T> all = calls(type);
        if (all.isEmpty()) {
            throw new AssertionError("no " + type.getSimpleName() + " among " + calls);
        }
        return all.get(all.size() - 1);
    }

    int starts(String task) {
        return (int) calls(WorkerCall.Start.class).stream()
                .filter(start -> start.task().toString().equals(task))
                .count();
    }

    void execute(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Write write) {
                commit(write.commit());
            } else if (effect instanceof Effect.ReadHead) {
                execute(owner.headRead(nowNs, store.head(PATH)));
            } else if (effect instanceof Effect.ReadShard) {
                execute(owner.shardRead(nowNs, store.image(PATH)));
            } else if (effect instanceof Effect.PutObject put) {
                store.objects.put(put.name(), put.content());
                owner.objectWritten(put.name(), true);
            } else if (effect instanceof Effect.DeleteObject delete) {
                store.objects.remove(delete.name());
            } else if (effect instanceof Effect.CallWorker call) {
                calls.add(call.call());
            } else if (effect instanceof Effect.Answer answer) {
                answers.add(answer.answer());
            }
        }
    }

    private void commit(Commit commit) {
        commits.add(commit);
        Simulation.CommitFault fault = faults.isEmpty() ? Simulation.CommitFault.NONE : faults.poll();
        if (fault == Simulation.CommitFault.REFUSED) {
            execute(owner.commitFailed(nowNs, commit.commitId(), PlatformException.Effect.NONE));
            return;
        }
        if (fault == Simulation.CommitFault.DELAYED) {
            // The owner gets an unknown outcome before the request reaches the store.
            execute(owner.commitFailed(nowNs, commit.commitId(), PlatformException.Effect.UNKNOWN));
            return;
        }
        Optional<Map<String, Long>> written = store.commit(commit);
        if (fault == Simulation.CommitFault.ANSWER_LOST) {
            execute(owner.commitFailed(nowNs, commit.commitId(), PlatformException.Effect.UNKNOWN));
        } else if (written.isPresent()) {
            execute(owner.committed(nowNs, commit.commitId(), written.get()));
        } else {
            execute(owner.conflicted(nowNs, commit.commitId()));
        }
    }
}
