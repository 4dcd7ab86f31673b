package org.pollensill.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * Share of the load that runs on one event loop. Requests start at their intended times, whether or not earlier ones
 * have been answered (open loop). Everything but the constructor and {@link #start} runs on the event loop.
 */
final class Lane implements ConnectionPool.Listener {

    private static final long RETRY_DELAY_MS = 200;

    private final LoadConfig config;
    private final EventLoop loop;
    private final EntryHealth health;
    private final int laneIndex;
    private final List<ConnectionPool> pools = new ArrayList<>();
    private final PriorityQueue<Arrivals> pendingArrivals =
            new PriorityQueue<>(Comparator.comparingLong(Arrivals::dueNs));
    private final LaneResult result;
    private final CompletableFuture<LaneResult> completion = new CompletableFuture<>();
    private final Random random;
    private long originNs;
    private long startedRequests;
    private long inProgress;
    private int nextPool;

    Lane(LoadConfig config, EventLoop loop, EntryHealth health, int laneIndex) {
        this.config = config;
        this.loop = loop;
        this.health = health;
        this.laneIndex = laneIndex;
        this.result = new LaneResult(config);
        this.random = new Random(config.seed() * 1009 + laneIndex);
        for (String entry : config.entries()) {
            pools.add(new ConnectionPool(loop, entry, config.connectionsPerEntry() / config.lanes(), this));
        }
        // Lanes start at different addresses, so that load is distributed at low rates too.
        this.nextPool = laneIndex;
        int index = 0;
        for (LoadConfig.Kind kind : config.kinds()) {
            long seed = config.seed() * 31 + laneIndex * 7919L + index++;
            Arrivals arrivals = new Arrivals(kind, config.phases(), 1.0 / config.lanes(), seed);
            if (arrivals.hasNext()) {
                pendingArrivals.add(arrivals);
            }
        }
    }

    CompletableFuture<LaneResult> start(long startNs) {
        originNs = startNs;
        loop.execute(this::startDueRequests);
        return completion;
    }

    private void startDueRequests() {
        long nowNs = System.nanoTime() - originNs;
        while (!pendingArrivals.isEmpty() && pendingArrivals.peek().dueNs() <= nowNs) {
            Arrivals arrivals = pendingArrivals.poll();
            int phase = arrivals.phase();
            long dueNs = arrivals.dueNs();
            arrivals.advance();
            // A request may end at once, and the lane ends with it unless its next arrival is pending.
            if (arrivals.hasNext()) {
                pendingArrivals.add(arrivals);
            }
            if (startedRequests < config.maxRequests() / config.lanes()) {
                startRequest(arrivals.kind(), phase, dueNs);
            }
        }
        if (pendingArrivals.isEmpty()) {
            finishWhenIdle();
            return;
        }
        loop.schedule(this::startDueRequests, pendingArrivals.peek().dueNs() - nowNs, TimeUnit.NANOSECONDS);
    }

    private void startRequest(LoadConfig.Kind kind, int phase, long dueNs) {
        String workId = "w" + config.seed() + "-" + laneIndex + "-" + startedRequests++;
        String caller = kind.name() + "-caller-" + random.nextInt(kind.callers());
        inProgress++;
        long intendedNs = originNs + dueNs;
        attempt(new Call(kind, phase, workId, caller, intendedNs), intendedNs);
    }

    private void attempt(Call call, long startNs) {
        long timeoutNs = startNs + (call.kind().deadlineMs() + config.graceMs()) * 1_000_000 - System.nanoTime();
        call.beginAttempt(startNs, loop.schedule(() -> timeOut(call), Math.max(1, timeoutNs), TimeUnit.NANOSECONDS));
        route(call);
    }

    private void route(Call call) {
        long nowNs = System.nanoTime();
        for (int i = 0; i < pools.size(); i++) {
            int entry = nextPool++ % pools.size();
            if (health.isHealthy(entry) && !pools.get(entry).isBackingOff(nowNs)) {
                pools.get(entry).send(call);
                return;
            }
        }
        attemptEnded(call, call.attempts(), Outcome.NOT_SENT, "no address accepts connections");
    }

    private void timeOut(Call call) {
        boolean sent = call.isSent();
        attemptEnded(call, call.attempts(), sent ? Outcome.NO_ANSWER : Outcome.NOT_SENT, "given up");
        if (sent) {
            call.closeConnection();
        }
    }

    @Override
    public void connectionRefused(Call call) {
        if (!call.isOpen()) {
            return;
        }
        if (call.countReroute() > pools.size()) {
            attemptEnded(call, call.attempts(), Outcome.NOT_SENT, "connection refused");
            return;
        }
        route(call);
    }

    @Override
    public void attemptEnded(Call call, int attempt, Outcome outcome, String detail) {
        if (!call.isOpen() || attempt != call.attempts()) {
            return;
        }
        call.endAttempt(outcome);
        if (call.mayRetry(outcome)) {
            loop.schedule(() -> attempt(call, System.nanoTime()), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        long nowNs = System.nanoTime();
        result.record(call, outcome, detail, nowNs - call.intendedNs(), call.intendedNs() - originNs);
        inProgress--;
        if (pendingArrivals.isEmpty()) {
            finishWhenIdle();
        }
    }

    private void finishWhenIdle() {
        if (inProgress == 0 && pendingArrivals.isEmpty() && !completion.isDone()) {
            pools.forEach(ConnectionPool::closeAll);
            completion.complete(result);
        }
    }
}
