package org.pollensill.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.pollensill.job.JobCodec;
import org.pollensill.job.JobRequest;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.TableService;
import org.pollensill.platform.Write;

/**
 * Stores accepted jobs, several in one transaction. Each job is written under the condition that it is absent, so that
 * a repeat at any coordinator is the same job.
 */
final class Intake {

    /** What is known about a job after an attempt to store it. */
    enum Outcome {
        /** It is stored. */
        STORED,
        /** It is not stored and never will be by this attempt. */
        NOT_STORED,
        /** It may have been stored, or will be. */
        UNKNOWN
    }

    /** Most jobs in one transaction, half of what the store takes. */
    private static final int MOST_JOBS = 50;

    /** Most bytes in one transaction; the store takes 1 MB with a third more for its encoding. */
    private static final int MOST_BYTES = 500_000;

    private static final long RETRY_MS = 60;

    /**
     * Longest wait for a store that answers nothing, a third of the clients' usual deadline. A client that is told that the outcome is
     * unknown repeats its job elsewhere, and has time left for it.
     */
    static final long PATIENCE_MS = 1_000;

    /** A job that was certainly not written is tried this often before it is refused. */
    private static final int REFUSED_ATTEMPTS = 2;

    private static final class Pending {
        private final String id;
        private final String value;
        private final long deadlineMs;
        private final CompletableFuture<Outcome> result = new CompletableFuture<>();
        private int refusals;
        private boolean mayBeWritten;
        private boolean inFlight;

        private Pending(String id, String value, long deadlineMs) {
            this.id = id;
            this.value = value;
            this.deadlineMs = deadlineMs;
        }
    }

    /** Jobs of one partition; at most one transaction of it is in flight. */
    private static final class Lane {
        private final Deque<Pending> waiting = new ArrayDeque<>();
        private boolean inFlight;
    }

    private final LongSupplier clockMs;
    private final BiConsumer<Long, Runnable> timer;
    private final TableService store;
    private final StoreHealth health;
    private final String commitPrefix;
    private final Map<String, Lane> lanes = new HashMap<>();
    private long commits;

    /**
     * Creates an intake.
     *
     * @param clockMs the monotonic time
     * @param timer runs an action after a delay in milliseconds
     * @param store the platform's store
     * @param health watches the calls
     * @param commitPrefix beginning of the commits' identities
     */
    Intake(
            LongSupplier clockMs,
            BiConsumer<Long, Runnable> timer,
            TableService store,
            StoreHealth health,
            String commitPrefix) {
        this.clockMs = clockMs;
        this.timer = timer;
        this.store = store;
        this.health = health;
        this.commitPrefix = commitPrefix;
    }

    /**
     * Stores a job.
     *
     * @param job the job
     * @param deadlineMs monotonic time at which the outcome must be known or given up
     * @return the outcome
     */
    CompletableFuture<Outcome> store(JobRequest job, long deadlineMs) {
        Pending pending = new Pending(job.id(), JobCodec.encode(job), deadlineMs);
        Lane lane = lanes.computeIfAbsent(Tables.intakePartition(job.id()), partition -> new Lane());
        lane.waiting.add(pending);
        giveUpLater(lane, pending);
        send(lane);
        return pending.result;
    }

    private void giveUpLater(Lane lane, Pending pending) {
        long leftMs = Math.max(0, pending.deadlineMs - clockMs.getAsLong());
        timer.accept(Math.min(PATIENCE_MS, leftMs), () -> giveUp(lane, pending));
    }

    /** Gives a job its final answer: it is refused if it was never sent, and uncertain otherwise. */
    private void giveUp(Lane lane, Pending pending) {
        if (pending.result.isDone()) {
            return;
        }
        boolean slow = health.silentMs() < PATIENCE_MS && clockMs.getAsLong() < pending.deadlineMs;
        if (slow) {
            giveUpLater(lane, pending);
            return;
        }
        boolean sent = pending.inFlight || pending.mayBeWritten;
        lane.waiting.remove(pending);
        pending.result.complete(sent ? Outcome.UNKNOWN : Outcome.NOT_STORED);
    }

    private void send(Lane lane) {
        if (lane.inFlight || lane.waiting.isEmpty()) {
            return;
        }
        Map<String, Pending> batch = new LinkedHashMap<>();
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        int bytes = 0;
        while (!lane.waiting.isEmpty() && batch.size() < MOST_JOBS) {
            Pending next = lane.waiting.peek();
            if (!batch.isEmpty() && bytes + next.value.length() > MOST_BYTES) {
                break;
            }
            String key = Tables.jobKey(next.id);
            if (batch.containsKey(key)) {
                // Two requests for one job; the second waits for the outcome of the first.
                break;
            }
            lane.waiting.poll();
            next.inFlight = true;
            batch.put(key, next);
            conditions.add(Condition.absent(key));
            writes.add(Write.put(key, next.value));
            bytes += next.value.length();
        }
        lane.inFlight = true;
        Commit commit = new Commit(commitPrefix + "-" + commits++, conditions, writes);
        health.watch(store.commit(commit)).whenComplete((outcome, failure) -> {
            lane.inFlight = false;
            batch.values().forEach(pending -> pending.inFlight = false);
            if (failure == null) {
                answered(lane, batch, outcome);
                send(lane);
                return;
            }
            failed(lane, batch, PlatformException.effectOf(failure));
            timer.accept(RETRY_MS, () -> send(lane));
        });
    }

    private void answered(Lane lane, Map<String, Pending> batch, CommitOutcome outcome) {
        if (outcome instanceof CommitOutcome.Conflicted conflict) {
            List<Pending> again = new ArrayList<>();
            for (Map.Entry<String, Pending> entry : batch.entrySet()) {
                if (conflict.versions().containsKey(entry.getKey())) {
                    entry.getValue().result.complete(Outcome.STORED);
                } else if (!entry.getValue().result.isDone()) {
                    again.add(entry.getValue());
                }
            }
            putBack(lane, again);
            return;
        }
        batch.values().forEach(pending -> pending.result.complete(Outcome.STORED));
    }

    private void failed(Lane lane, Map<String, Pending> batch, PlatformException.Effect effect) {
        List<Pending> again = new ArrayList<>();
        for (Pending pending : batch.values()) {
            pending.mayBeWritten |= effect == PlatformException.Effect.UNKNOWN;
            pending.refusals++;
            if (pending.result.isDone()) {
                continue;
            }
            if (!pending.mayBeWritten && pending.refusals >= REFUSED_ATTEMPTS) {
                pending.result.complete(Outcome.NOT_STORED);
            } else if (clockMs.getAsLong() + RETRY_MS >= pending.deadlineMs) {
                pending.result.complete(pending.mayBeWritten ? Outcome.UNKNOWN : Outcome.NOT_STORED);
            } else {
                again.add(pending);
            }
        }
        putBack(lane, again);
    }

    private static void putBack(Lane lane, List<Pending> again) {
        for (int i = again.size() - 1; i >= 0; i--) {
            lane.waiting.addFirst(again.get(i));
        }
    }
}
