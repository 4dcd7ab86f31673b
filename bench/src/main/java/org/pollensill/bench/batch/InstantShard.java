package org.pollensill.bench.batch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.pollensill.batch.BatchSettings;
import org.pollensill.batch.ClientCall;
import org.pollensill.batch.Effect;
import org.pollensill.batch.JobSpec;
import org.pollensill.batch.Ownership;
import org.pollensill.batch.ShardHead;
import org.pollensill.batch.ShardImage;
import org.pollensill.batch.ShardOwner;
import org.pollensill.batch.ShardPath;
import org.pollensill.batch.WorkerCall;
import org.pollensill.batch.WorkerReport;
import org.pollensill.platform.Commit;
import org.pollensill.platform.Host;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;
import org.pollensill.worker.Resources;

/** A shard whose store and workers answer at once. It counts what the store gets. */
final class InstantShard {

    static final ShardPath PATH = new ShardPath("chima-a", 0);

    private static final long STEP_NS = 100_000_000L;
    private static final long DAY_MS = 86_400_000L;

    private final TreeMap<String, Row> rows;
    private final Map<String, byte[]> objects;
    private final ShardOwner owner;
    private final Deque<Effect> effects = new ArrayDeque<>();
    private final List<WorkerCall.Start> unreported = new ArrayList<>();
    private final Map<String, String> workerOf = new HashMap<>();
    private final long epoch;
    private long versions;
    private long nowNs = 1;
    private long calls;
    private long commits;
    private long bytes;
    private long starts;

    private InstantShard(TreeMap<String, Row> rows, Map<String, byte[]> objects, long epoch, int workers) {
        this.rows = rows;
        this.objects = objects;
        this.epoch = epoch;
        this.versions = rows.size() + epoch * 1_000_000_000L;
        this.owner = ShardOwner.of(PATH, "127.0.0.1:1#" + epoch, new SplittableRandom(epoch));
        BatchSettings base = BatchSettings.DEFAULTS;
        owner.updateSettings(new BatchSettings(100, 0, 90, 70, DAY_MS, DAY_MS / 2, base.startWindowMs(), 8, Map.of()));
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            hosts.add(new Host(
                    "w" + i,
                    "w" + i,
                    Host.Role.WORKER,
                    "",
                    "r",
                    "chima-a",
                    "k" + i / 11,
                    Host.State.LIVE,
                    2_000_000_000,
                    1L << 50,
                    0,
                    0,
                    0));
        }
        owner.updateHosts(hosts);
    }

    static InstantShard empty(int workers) {
        InstantShard shard = new InstantShard(new TreeMap<>(), new HashMap<>(), 1, workers);
        shard.takeOver();
        shard.reportAll(workers);
        return shard;
    }

    /** Returns a later owner of the same shard, before it reads anything. */
    InstantShard successor(int workers) {
        return new InstantShard(new TreeMap<>(rows), objects, epoch + 1, workers);
    }

    /** Reads, rebuilds and fences the shard. */
    void takeOver() {
        perform(owner.updateOwnership(nowNs, Ownership.confirmed(epoch)));
    }

    boolean isActive() {
        return owner.isActive();
    }

    private void reportAll(int workers) {
        for (int i = 0; i < workers; i++) {
            perform(owner.report(nowNs, new WorkerReport("w" + i, nowNs / 1_000_000, epoch, List.of(), 0)));
        }
    }

    void submit(String key, int tasks) {
        Resources size = new Resources(1_000, 1 << 20, 0);
        JobSpec spec = new JobSpec(key, "night", "fitment", "rebuild", tasks, 5, size, 60_000, true);
        perform(owner.client(nowNs, ++calls, new ClientCall.Submit(spec, 0)));
    }

    void step() {
        nowNs += STEP_NS;
        perform(owner.tick(nowNs));
    }

    /** Reports the end of all tasks started since the last call. */
    void finishAll() {
        Map<String, List<WorkerReport.TaskReport>> ended = new HashMap<>();
        for (WorkerCall.Start start : unreported) {
            ended.computeIfAbsent(workerOf.remove(start.task().toString()), worker -> new ArrayList<>())
                    .add(new WorkerReport.TaskReport(
                            start.task(), start.attempt(), WorkerReport.State.FINISHED, "", "", Resources.NONE, 100));
        }
        unreported.clear();
        ended.forEach((worker, entries) ->
                perform(owner.report(nowNs, new WorkerReport(worker, nowNs / 1_000_000, epoch, entries, 0))));
    }

    private void perform(List<Effect> next) {
        effects.addAll(next);
        while (!effects.isEmpty()) {
            Effect effect = effects.remove();
            if (effect instanceof Effect.ReadShard) {
                effects.addAll(owner.shardRead(nowNs, image()));
            } else if (effect instanceof Effect.Write write) {
                String id = write.commit().commitId();
                effects.addAll(owner.committed(nowNs, id, commit(write.commit())));
            } else if (effect instanceof Effect.PutObject put) {
                objects.put(put.name(), put.content());
                bytes += put.content().length;
                owner.objectWritten(put.name(), true);
            } else if (effect instanceof Effect.CallWorker call && call.call() instanceof WorkerCall.Start start) {
                starts++;
                unreported.add(start);
                workerOf.put(start.task().toString(), call.worker());
                effects.addAll(owner.workerAnswered(nowNs, start, WorkerCall.Result.DONE));
            }
        }
    }

    private ShardImage image() {
        Optional<Row> head = Optional.ofNullable(rows.get(PATH.head()));
        if (head.isEmpty()) {
            return new ShardImage(head, Optional.empty(), List.of());
        }
        long covered = ShardHead.parse(head.get().value()).snapshotSequence();
        return new ShardImage(
                head,
                Optional.ofNullable(objects.get(PATH.snapshot(covered))),
                List.copyOf(rows.subMap(PATH.log(covered + 1), PATH.logPrefix() + "~")
                        .values()));
    }

    private Map<String, Long> commit(Commit commit) {
        commits++;
        Map<String, Long> written = new HashMap<>();
        for (Write write : commit.writes()) {
            if (write.value().isEmpty()) {
                rows.remove(write.key());
                continue;
            }
            String value = write.value().get();
            bytes += write.key().length() + value.getBytes(StandardCharsets.UTF_8).length;
            rows.put(write.key(), new Row(write.key(), ++versions, value));
            written.put(write.key(), versions);
        }
        return written;
    }

    long starts() {
        return starts;
    }

    long commits() {
        return commits;
    }

    long bytes() {
        return bytes;
    }
}
