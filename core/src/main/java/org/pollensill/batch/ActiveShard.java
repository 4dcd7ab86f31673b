package org.pollensill.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.pollensill.worker.Worker;

/** The components of a shard's owner that exist for as long as it owns the shard. */
final class ActiveShard {

    /** Minimum interval between two checks of leases, stops and evictions, regardless of the rate of inputs. */
    private static final long SWEEP_INTERVAL_NS = 100_000_000L;

    final ShardContext context;
    private final RunTable runs;
    private final Evictor evictor;
    private final Dispatcher dispatcher;
    private final ReportHandler reportHandler;
    private final ClientCallHandler clientHandler;
    private boolean fenced;
    private boolean hasSwept;
    private long lastSweepNs;

    ActiveShard(ShardContext context) {
        this.context = context;
        this.runs = new RunTable(context);
        this.evictor = new Evictor(context, runs);
        PlacementPolicy policy = PlacementPolicy.sampling(context.settings.candidates(), context.interference);
        this.dispatcher = new Dispatcher(context, runs, evictor, policy);
        this.reportHandler = new ReportHandler(context, runs, dispatcher);
        this.clientHandler = new ClientCallHandler(context, runs);
    }

    static ShardContext context(
            ShardPath path,
            RandomGenerator random,
            Recovery recovery,
            ShardLog log,
            WorkerPool pool,
            LearnedEstimates estimates) {
        return new ShardContext(path, random, recovery.state(), log, pool, estimates.usage(), estimates.interference());
    }

    void ownership(Ownership ownership, long nowNs) {
        if (ownership.epoch() != context.epoch()) {
            context.log.changeEpoch(ownership.epoch());
        }
        context.ownership = ownership;
        runs.formerOwnerResolved(ownership.formerOwnerResolved(), nowNs);
    }

    /** Until the fencing commit has taken effect, sends only that commit, and only if the ownership is confirmed. */
    void tick(long nowNs) {
        if (!fenced && !context.log.isFenced()) {
            if (context.isConfirmed()) {
                context.effects.addAll(context.log.tick(nowNs, () -> SnapshotCodec.encode(context.state)));
            }
            return;
        }
        if (!fenced) {
            fenced = true;
            runs.inherit(nowNs);
            context.event(
                    3001,
                    "shard " + context.path.zone() + "/" + context.path.shard() + " is taken over at epoch "
                            + context.epoch() + " with " + context.state.jobs().size() + " jobs and "
                            + runs.runs().size() + " placed tasks");
        }
        context.runDurableActions(nowNs);
        if (!hasSwept || nowNs - lastSweepNs >= SWEEP_INTERVAL_NS) {
            hasSwept = true;
            lastSweepNs = nowNs;
            runs.tick(nowNs);
            evictor.tick(nowNs);
            dispatcher.tick(nowNs);
            requestStops(nowNs);
            clientHandler.removeOldJobs(nowNs);
        }
        clientHandler.tick(nowNs);
        context.effects.addAll(context.log.tick(nowNs, () -> SnapshotCodec.encode(context.state)));
    }

    /** Requests the stops and checkpoints that became durable, without waiting for the next report. */
    private void requestStops(long nowNs) {
        for (Run run : List.copyOf(runs.runs())) {
            boolean mustStop =
                    run.task.state() == TaskState.EVICTING || run.task.job().state() != JobState.ACTIVE;
            if (mustStop && (run.sent || run.inherited && !run.worker.address().isEmpty())) {
                reportHandler.requestStop(run, nowNs);
            }
        }
    }

    boolean isFenced() {
        return fenced;
    }

    void report(WorkerReport report, long nowNs) {
        Optional<Worker> worker = context.pool.worker(report.worker());
        if (fenced && worker.isPresent()) {
            reportHandler.handle(worker.get(), report, nowNs);
        }
    }

    void workerAnswered(WorkerCall call, WorkerCall.Result result) {
        if (fenced) {
            runs.processAnswer(call, result);
        }
    }

    void client(long callId, ClientCall call, long nowNs) {
        clientHandler.call(callId, call, nowNs);
    }

    void ownershipLost(String reason) {
        context.event(3002, "shard " + context.path.zone() + "/" + context.path.shard() + " is dropped: " + reason);
        clientHandler.ownershipLost();
    }

    Map<String, String> workers() {
        Map<String, String> addresses = new TreeMap<>();
        for (Worker worker : context.pool.workers()) {
            if (fenced && !worker.address().isEmpty()) {
                addresses.put(worker.name(), worker.address());
            }
        }
        return addresses;
    }

    List<Effect> drainEffects() {
        List<Effect> effects = new ArrayList<>(context.effects);
        context.effects.clear();
        return effects;
    }
}
