package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.adapter.RunnerEntryCodec;
import org.pollensill.dispatch.AdviceRequest;
import org.pollensill.dispatch.Batch;
import org.pollensill.dispatch.Dispatcher;
import org.pollensill.job.JobCodec;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobStatus;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.leader.CommitChain;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.platform.Write;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runner.AdviceAnswer;
import org.pollensill.runner.AdviceService;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.runtime.event.EventLog;

/** What a coordinator does while it leads: loads the state, feeds the dispatcher and commits its decisions. */
final class LeaderSession {

    private static final EventLog LOG = EventLog.of(LeaderSession.class);

    /** Period of the dispatcher's timers. */
    private static final long TICK_MS = 50;

    /** Period of reading the runners' rows; they change with every heartbeat, so a feed would not pay. */
    private static final long RUNNERS_MS = 600;

    /** The lease is renewed this often while there is nothing to record. */
    private static final long RENEWAL_MS = 700;

    /** Least time between the begins of two commits, so that the changes of a moment share one. */
    private static final long COMMIT_SPACING_MS = 12;

    /** Period of storing what was learned; a few KB each time. */
    private static final long LEARNED_MS = 3_000;

    /** Period of looking for jobs that ended long ago. */
    private static final long EXPIRY_MS = 2_000;

    private final Loop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final CoordinatorSettings settings;
    private final Optional<AdviceService> advice;
    private final TableReader reader;
    private final Committer committer;
    private final OrderSender orders;
    private final Dispatcher dispatcher;
    private final IntakeFeed intake;
    private final Map<String, JobRecord> records = new HashMap<>();
    private final Expiry expiry;
    private String learned = "";
    private long learnedAtMs;
    private boolean jobsLoaded;
    private boolean runnersLoaded;
    private boolean stopped;
    private boolean pumpScheduled;
    private boolean releasing;
    private final long tookOverAtMs;

    LeaderSession(CoordinatorContext context, CommitChain chain, long formerUnconfirmedMs, Runnable onDeposed) {
        this.loop = context.loop();
        this.store = context.store();
        this.health = context.health();
        this.settings = context.settings();
        this.advice = context.advice();
        this.reader = new TableReader(loop, store, health, () -> stopped);
        this.tookOverAtMs = loop.nowMs();
        this.committer = new Committer(context, chain, onDeposed, this::pump);
        this.orders = new OrderSender(loop, context.runners(), chain.row().fence(), this::pump);
        this.dispatcher = Dispatcher.takeOver(
                chain.row().fence(),
                loop.nowMs(),
                formerUnconfirmedMs,
                Tables.PROGRESS + "/",
                orders,
                new DecisionLog(context.metrics(), committer::confirmSoon));
        this.orders.attach(dispatcher);
        this.expiry = new Expiry(commit -> health.watch(store.commit(commit)), new EndedJobs(), settings.keepEndedMs());
        this.intake = new IntakeFeed(loop, store, health, this::onIntake);
    }

    void start(Optional<QueueCatalogue> catalogue) {
        catalogue.ifPresent(dispatcher::setCatalogue);
        loadLearned();
        loadRecords();
        loadRunners();
        tick();
        expire();
    }

    void setCatalogue(QueueCatalogue catalogue) {
        dispatcher.setCatalogue(catalogue);
        pump();
    }

    /** Ends all activity without a word to the store. */
    void stop() {
        stopped = true;
        orders.stop();
        intake.stop();
        committer.stop();
    }

    /**
     * Gives up the lease after the commit in flight; until then runners are still held.
     *
     * @param released runs when the store knows, or when this coordinator no longer leads
     */
    void release(Runnable released) {
        releasing = true;
        committer.release(dispatcher.waitingJobs(), this::lastOrders, () -> {
            stop();
            released.run();
        });
    }

    /** Extends the leases for the successor; from now on this process gives no orders. */
    private void lastOrders() {
        if (committer.mayExtendLeases()) {
            dispatcher.extendLeases(loop.nowMs());
        }
        orders.stop();
    }

    Optional<JobStatus> status(String id) {
        return loaded() ? dispatcher.status(id) : Optional.empty();
    }

    Optional<Integer> waitingJobs(String queue) {
        return loaded() ? Optional.of(dispatcher.waitingJobs().getOrDefault(queue, 0)) : Optional.empty();
    }

    private boolean loaded() {
        return jobsLoaded && runnersLoaded;
    }

    private void loadLearned() {
        health.watch(store.read(List.of(Tables.LEARNED_KEY), List.of())).whenComplete((rows, failure) -> {
            if (failure != null) {
                // Without it the leader learns anew; a later leader may find it again.
                LOG.log(CoordinatorEvent.LEARNED_UNREADABLE, "problem", failure.getMessage());
                return;
            }
            try {
                if (!rows.isEmpty()) {
                    learned = rows.get(0).value();
                    dispatcher.restoreLearned(learned);
                }
            } catch (JsonSyntaxException e) {
                LOG.log(CoordinatorEvent.LEARNED_UNREADABLE, "problem", e.getMessage());
            }
        });
    }

    /** Returns the row of what was learned, where it has changed and its time has come. */
    private Optional<Write> learnedRow(long nowMs) {
        if (!loaded() || nowMs - learnedAtMs < LEARNED_MS) {
            return Optional.empty();
        }
        learnedAtMs = nowMs;
        String now = dispatcher.learned();
        if (now.equals(learned) || now.length() > settings.maxRowBytes()) {
            return Optional.empty();
        }
        learned = now;
        return Optional.of(Write.put(Tables.LEARNED_KEY, now));
    }

    private void loadRecords() {
        reader.read(Tables.PROGRESS).thenAccept(snapshot -> {
            snapshot.rows().forEach(this::loadRecord);
            intake.start();
        });
    }

    private void loadRecord(Row row) {
        try {
            records.put(Tables.jobId(row.key()), JobCodec.decodeRecord(row.value()));
        } catch (JsonSyntaxException e) {
            LOG.log(CoordinatorEvent.ROW_UNREADABLE, "key", row.key(), "problem", e.getMessage());
        }
    }

    private void onIntake(List<Row> rows) {
        loop.run(() -> {
            long nowMs = loop.nowMs();
            for (Row row : rows) {
                if (!Tables.isCancel(row.key())) {
                    addJob(row, nowMs);
                }
            }
            for (Row row : rows) {
                if (Tables.isCancel(row.key())) {
                    dispatcher.cancel(Tables.jobId(row.key()), nowMs);
                }
            }
            if (!jobsLoaded) {
                jobsLoaded = true;
                expiry.addOrphans(records.keySet());
                records.clear();
                dispatcher.begin();
                logLoaded();
            }
            pump();
        });
    }

    private void addJob(Row row, long nowMs) {
        try {
            Optional<JobRecord> record = Optional.ofNullable(records.remove(Tables.jobId(row.key())));
            dispatcher.addJob(JobCodec.decode(row.value()), record, nowMs);
        } catch (JsonSyntaxException e) {
            LOG.log(CoordinatorEvent.ROW_UNREADABLE, "key", row.key(), "problem", e.getMessage());
        }
    }

    private void loadRunners() {
        reader.read(RunnerEntryCodec.TABLE).thenAccept(snapshot -> {
            List<RunnerEntry> entries = new ArrayList<>();
            for (Row row : snapshot.rows()) {
                RunnerEntryCodec.decode(row).ifPresent(entries::add);
            }
            dispatcher.updateRunners(entries, loop.nowMs());
            if (!runnersLoaded) {
                runnersLoaded = true;
                logLoaded();
            }
            loop.after(RUNNERS_MS, this::loadRunners);
            pump();
        });
    }

    private void logLoaded() {
        if (loaded()) {
            LOG.log(CoordinatorEvent.STATE_LOADED, "tookMs", loop.nowMs() - tookOverAtMs);
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        dispatcher.tick(loop.nowMs(), loop.wallMs(), committer.mayExtendLeases());
        askAdvice();
        pump();
        loop.after(TICK_MS, this::tick);
    }

    private void askAdvice() {
        if (stopped || releasing || advice.isEmpty()) {
            return;
        }
        Optional<AdviceRequest> next = dispatcher.nextAdvice(loop.nowMs());
        if (next.isEmpty()) {
            return;
        }
        AdviceRequest request = next.get();
        advice.get()
                .advise(request.name(), request.runnerIds(), request.timeoutMs())
                .thenAccept(answer -> loop.run(() -> {
                    LOG.log(CoordinatorEvent.ADVICE, "step", request.name(), "answer", summary(answer));
                    dispatcher.onAdvice(request, answer, loop.nowMs());
                    askAdvice();
                    pump();
                }));
    }

    private static String summary(AdviceAnswer answer) {
        if (answer instanceof AdviceAnswer.Decided decided) {
            return decided.tickets().size() + " allowed for " + decided.validMs() + " ms";
        }
        return answer instanceof AdviceAnswer.Failed failed ? failed.problem() : "too many calls";
    }

    /** Commits what the dispatcher has decided, as soon as a commit may begin. */
    private void pump() {
        if (stopped || releasing || committer.busy()) {
            return;
        }
        long nowMs = loop.nowMs();
        long waitMs = committer.lastBeganMs() + COMMIT_SPACING_MS - nowMs;
        if (waitMs > 0) {
            if (!pumpScheduled) {
                pumpScheduled = true;
                loop.after(waitMs, () -> {
                    pumpScheduled = false;
                    pump();
                });
            }
            return;
        }
        Optional<Batch> batch = dispatcher.plan(nowMs);
        boolean renew = nowMs - committer.lastBeganMs() >= RENEWAL_MS || committer.confirmationWanted();
        if (batch.isEmpty() && !renew) {
            return;
        }
        List<Write> writes = new ArrayList<>();
        batch.ifPresent(changes -> writes.addAll(changes.writes()));
        List<Write> expired = batch.isEmpty() && jobsLoaded ? expiry.takeProgressDeletions() : List.of();
        writes.addAll(expired);
        learnedRow(nowMs).ifPresent(writes::add);
        committer.commit(dispatcher.waitingJobs(), writes, committed -> {
            if (!committed) {
                expiry.restore(expired);
            }
            if (batch.isEmpty()) {
                return;
            }
            if (committed) {
                dispatcher.committed(batch.get(), loop.nowMs());
            } else {
                dispatcher.withdrawn(batch.get());
            }
        });
    }

    private void expire() {
        if (stopped) {
            return;
        }
        if (jobsLoaded && !releasing) {
            expiry.run(loop.nowMs());
        }
        loop.after(EXPIRY_MS, this::expire);
    }

    private final class EndedJobs implements Expiry.Jobs {

        @Override
        public List<String> endedBefore(long timeMs) {
            return dispatcher.endedBefore(timeMs);
        }

        @Override
        public void forget(String id) {
            dispatcher.forget(id);
        }
    }
}
