package org.pollensill.bench.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.pollensill.batch.ClientCall;
import org.pollensill.batch.Effect;
import org.pollensill.batch.JobSpec;
import org.pollensill.batch.Ownership;
import org.pollensill.batch.ShardImage;
import org.pollensill.batch.ShardOwner;
import org.pollensill.batch.ShardPath;
import org.pollensill.batch.WorkerCall;
import org.pollensill.batch.WorkerReport;
import org.pollensill.platform.Commit;
import org.pollensill.platform.Host;
import org.pollensill.platform.Write;
import org.pollensill.worker.Resources;

/** A shard owner whose effects complete immediately, with many queued tasks and no free workers. */
final class ShardOperations {

    private static final int TASKS_PER_JOB = 10;
    private static final long ROUND_INTERVAL_NS = 101_000_000L;

    private final ShardOwner owner = ShardOwner.of(new ShardPath("caxias", 0), "s1", new Random(1));
    private final Map<String, Long> versions = new HashMap<>();
    private final Deque<Effect> pendingEffects = new ArrayDeque<>();
    private long nowNs = 1;

    private ShardOperations(int workers) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            hosts.add(new Host(
                    "w" + i,
                    "127.0.0.1:" + (1 + i % 60_000),
                    Host.Role.WORKER,
                    "",
                    "serra",
                    "caxias",
                    "k" + i / 8,
                    Host.State.LIVE,
                    16_000,
                    1L << 36,
                    0,
                    0,
                    0));
        }
        owner.updateHosts(hosts);
        applyEffects(owner.updateOwnership(nowNs, Ownership.confirmed(1)));
        hosts.forEach(host -> applyEffects(owner.report(nowNs, new WorkerReport(host.name(), 1, 1, List.of(), 0))));
    }

    private void applyEffects(List<Effect> newEffects) {
        pendingEffects.addAll(newEffects);
        while (!pendingEffects.isEmpty()) {
            Effect effect = pendingEffects.remove();
            if (effect instanceof Effect.ReadShard) {
                pendingEffects.addAll(
                        owner.shardRead(nowNs, new ShardImage(Optional.empty(), Optional.empty(), List.of())));
            } else if (effect instanceof Effect.Write write) {
                pendingEffects.addAll(
                        owner.committed(nowNs, write.commit().commitId(), commitVersions(write.commit())));
            } else if (effect instanceof Effect.PutObject put) {
                owner.objectWritten(put.name(), true);
            } else if (effect instanceof Effect.CallWorker call) {
                pendingEffects.addAll(owner.workerAnswered(nowNs, call.call(), WorkerCall.Result.DONE));
            }
        }
    }

    private Map<String, Long> commitVersions(Commit commit) {
        Map<String, Long> newVersions = new HashMap<>();
        for (Write write : commit.writes()) {
            newVersions.put(write.key(), versions.merge(write.key(), 1L, Long::sum));
        }
        return newVersions;
    }

    private void submitJobs(int jobs, int teams) {
        Resources wholeWorker = new Resources(12_800, 1 << 20, 0);
        for (int i = 0; i < jobs; i++) {
            JobSpec spec = new JobSpec(
                    "key" + i, "team" + i % teams, "patch", "sleep", TASKS_PER_JOB, 1, wholeWorker, 3_600_000, true);
            applyEffects(owner.client(nowNs, i, new ClientCall.Submit(spec, 0)));
            nowNs += 1_000_000;
        }
    }

    private void runRound() {
        nowNs += ROUND_INTERVAL_NS;
        applyEffects(owner.tick(nowNs));
    }

    /** Returns an operation that runs one dispatch round while whole-worker tasks fill all workers and others queue. */
    static Runnable dispatchRound(int tasks, int teams, int workers) {
        ShardOperations shard = new ShardOperations(workers);
        shard.submitJobs(tasks / TASKS_PER_JOB, teams);
        for (int i = 0; i < 200; i++) {
            shard.runRound();
        }
        return shard::runRound;
    }
}
