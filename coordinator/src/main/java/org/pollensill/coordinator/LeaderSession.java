package org.pollensill.coordinator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.pollensill.admission.LoadForecast;
import org.pollensill.admission.MemoryCredit;
import org.pollensill.admission.MemoryGrants;
import org.pollensill.dispatch.AdviceRequest;
import org.pollensill.dispatch.Batch;
import org.pollensill.dispatch.Dispatcher;
import org.pollensill.dispatch.InheritedLeases;
import org.pollensill.dispatch.ZoneStatus;
import org.pollensill.evacuation.ZoneEvacuations;
import org.pollensill.job.JobCodec;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobStatus;
import org.pollensill.job.StoredProgress;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.leader.CommitChain;
import org.pollensill.leader.LeaseBounds;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.platform.Write;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runner.AdviceAnswer;
import org.pollensill.runner.AdviceService;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.runtime.event.EventLog;

/** One term of a leader: loads the state, passes events to the dispatcher and commits its decisions. */
final class LeaderSession {

    private static final EventLog LOG = EventLog.of(LeaderSession.class);

    /** Interval between two ticks of the dispatcher. */
    private static final long TICK_INTERVAL_MS = 50;

    /** Interval between two renewals of the leader lease while there is nothing to commit. */
    private static final long LEASE_RENEWAL_INTERVAL_MS = 700;

    /** Minimum interval between the starts of two commits, so that changes are batched. */
    private static final long MIN_COMMIT_INTERVAL_MS = 12;

    /** Minimum interval between two writes of the learned estimates, a few KB each. */
    private static final long ESTIMATES_WRITE_INTERVAL_MS = 3_000;

    /**
     * Maximum number of writes in a commit besides that of the leader row: a transaction holds at most 100 entries, of
     * which the condition on the leader row is one.
     */
    private static final int MAX_WRITES_PER_COMMIT = 98;

    /** Time after a takeover in which the jobs are stored to which the former leader has granted memory. */
    private static final long FORMER_GRANTS_MS = 3_000;

    /** Maximum number of jobs that are read again at a time; a row has at most 64 KiB. */
    private static final int MAX_DEFERRED_READ = 10;

    /** Interval between two runs of the job expiry. */
    private static final long EXPIRY_INTERVAL_MS = 2_000;

    private final CoordinatorLoop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final CoordinatorSettings settings;
    private final Optional<AdviceService> advice;
    private final TableReader reader;
    private final Committer committer;
    private final OrderSender orders;
    private final Dispatcher dispatcher;
    private final IntakeFeed intakeFeed;
    private final RunnerFeed runnerFeed;
    private final StoredProgress progress = new StoredProgress();
    private final JobExpiry expiry;
    private final ZoneEvacuations evacuations;
    private String storedEstimates = "";
    private long estimatesCheckedAtMs;
    private final MemoryGrants grants = new MemoryGrants();
    /** Number of coordinators that accept jobs, 0 while it is unknown. */
    private int coordinators;

    /** Version of the store up to which the accepted jobs are known. */
    private long intakeVersion;

    private boolean readingDeferred;
    private boolean jobsLoaded;
    private boolean runnersLoaded;
    private boolean stopped;
    private boolean commitScheduled;
    private boolean releasing;
    private final long takeoverMs;

    LeaderSession(CoordinatorContext context, CommitChain chain, InheritedLeases inheritedLeases, Runnable onDeposed) {
        this.loop = context.loop();
        this.store = context.store();
        this.health = context.health();
        this.settings = context.settings();
        this.advice = context.advice();
        this.reader = new TableReader(loop::schedule, store, health, () -> stopped);
        this.takeoverMs = loop.nowMs();
        this.committer = new Committer(context, chain, onDeposed, this::commitPending, this::onLeaseBoundsStored);
        this.evacuations = settings.evacuationMs().map(ZoneEvacuations::within).orElseGet(ZoneEvacuations::unsupported);
        this.orders = new OrderSender(
                loop,
                context.runners(),
                context.metrics(),
                chain.row().fencingToken(),
                () -> committer.mayStartRuns() && evacuations.known(loop.nowMs()),
                committer::maxLeaseMs,
                this::commitPending);
        this.dispatcher = Dispatcher.takeOver(
                chain.row().fencingToken(),
                inheritedLeases,
                Tables.PROGRESS + "/",
                orders,
                new DecisionLog(context.metrics(), committer::requestConfirmation),
                evacuations);
        this.orders.attach(dispatcher);
        this.dispatcher.setUnavailableAfterMs(settings.unavailableAfterMs());
        this.dispatcher.reserveForLargeTasks(settings.reserveForLargeTasks());
        this.expiry = new JobExpiry(
                commit -> health.track(store.commit(commit)),
                dispatcher.retention().endedJobs(),
                new KnownCancellations(),
                settings.keepEndedMs());
        this.intakeFeed =
                new IntakeFeed(loop, store, health, this::onIntake, this::onIntakeVersion, this::onIntakeLoaded);
        this.runnerFeed = new RunnerFeed(loop, reader, this::onRunners);
    }

    void start(Optional<QueueCatalogue> catalogue, int commonFormat) {
        allowFormat(commonFormat);
        catalogue.ifPresent(dispatcher::setCatalogue);
        loadEstimates();
        loadProgress();
        runnerFeed.start();
        if (settings.evacuationMs().isPresent()) {
            new EvacuationFeed(loop::nowMs, loop::schedule, store, health, () -> stopped, this::onEvacuations).start();
        }
        tick();
        runExpiry();
    }

    void setCatalogue(QueueCatalogue catalogue) {
        dispatcher.setCatalogue(catalogue);
        commitPending();
    }

    /** Sets the latest format of stored jobs that all coordinators that may lead can read. */
    void allowFormat(int format) {
        dispatcher.allowProgressRanges(format >= Member.PROGRESS_IN_RANGES);
        expiry.allowReduction(format >= Member.ENDED_JOBS_REDUCED);
    }

    /** Sets the number of coordinators that accept jobs. */
    void setCoordinators(int count) {
        coordinators = count;
    }

    /** Returns the memory for further jobs that each coordinator has, empty while the state is being loaded. */
    Optional<MemoryCredit> credit() {
        if (!loaded() || coordinators == 0) {
            return Optional.empty();
        }
        long shareBytes = grants.shareBytes(dispatcher.freeBytes(), coordinators, loop.nowMs());
        return Optional.of(new MemoryCredit(shareBytes, intakeVersion));
    }

    /** Grants memory to a job that exceeds the share of its coordinator; returns whether there is enough. */
    boolean grantMemory(String id, long bytes) {
        boolean formerGrantsStored = loop.nowMs() - takeoverMs >= FORMER_GRANTS_MS;
        return loaded() && formerGrantsStored && grants.grant(id, bytes, dispatcher.freeBytes(), loop.nowMs());
    }

    /** Stops all activity without releasing the lease in the store. */
    void stop() {
        stopped = true;
        orders.close();
        intakeFeed.stop();
        committer.stop();
    }

    /**
     * Releases the leader lease after the commit in flight; until then the leases of runners are still extended.
     *
     * @param released runs when the release is stored, or when this coordinator is no longer the leader
     */
    void release(Runnable released) {
        releasing = true;
        committer.release(
                dispatcher.waitingJobs(),
                () -> dispatcher.leaseBounds().finalBounds(loop.nowMs()),
                this::sendFinalRenewals,
                () -> {
                    stop();
                    released.run();
                });
    }

    /** Renews the leases of runners for the time of the leader change, then stops sending orders. */
    private void sendFinalRenewals() {
        if (committer.maxLeaseMs() > 0) {
            dispatcher.renewLeases(loop.nowMs());
        }
        orders.close();
    }

    private void onLeaseBoundsStored(LeaseBounds bounds) {
        dispatcher.leaseBounds().stored(bounds);
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

    private void loadEstimates() {
        health.track(store.read(List.of(Tables.LEARNED_KEY), List.of())).whenComplete((rows, failure) -> {
            if (failure != null) {
                // The leader starts without estimates; a later leader may still read the row.
                LOG.log(CoordinatorEvent.ESTIMATES_UNREADABLE, "problem", failure.getMessage());
                return;
            }
            try {
                if (!rows.isEmpty()) {
                    storedEstimates = rows.get(0).value();
                    dispatcher.restoreInterferenceModel(storedEstimates);
                }
            } catch (JsonSyntaxException e) {
                LOG.log(CoordinatorEvent.ESTIMATES_UNREADABLE, "problem", e.getMessage());
            }
        });
    }

    /** Returns the write of the learned estimates, if they have changed and the interval has passed. */
    private Optional<Write> estimatesWrite(long nowMs) {
        if (!loaded() || nowMs - estimatesCheckedAtMs < ESTIMATES_WRITE_INTERVAL_MS) {
            return Optional.empty();
        }
        estimatesCheckedAtMs = nowMs;
        String estimates = dispatcher.encodeInterferenceModel();
        if (estimates.equals(storedEstimates)
                || estimates.getBytes(StandardCharsets.UTF_8).length > settings.maxRowBytes()) {
            return Optional.empty();
        }
        storedEstimates = estimates;
        return Optional.of(Write.put(Tables.LEARNED_KEY, estimates));
    }

    private void loadProgress() {
        reader.readPages(Tables.PROGRESS, rows -> rows.forEach(this::loadProgressRow))
                .thenAccept(version -> intakeFeed.start());
    }

    private void loadProgressRow(Row row) {
        try {
            progress.add(row);
        } catch (JsonSyntaxException | RuntimeException e) {
            LOG.log(CoordinatorEvent.ROW_UNREADABLE, "key", row.key(), "problem", e.getMessage());
        }
    }

    private void onIntake(List<Row> rows) {
        loop.execute(() -> {
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
            commitPending();
        });
    }

    private void onIntakeVersion(long version) {
        loop.execute(() -> intakeVersion = version);
    }

    /** Reads the jobs again for which there was no room and that fit now. */
    private void readDeferred() {
        if (readingDeferred || !loaded() || releasing) {
            return;
        }
        List<String> ids = dispatcher.deferredToAdd(MAX_DEFERRED_READ);
        if (ids.isEmpty()) {
            return;
        }
        readingDeferred = true;
        List<String> keys = ids.stream().map(Tables::jobKey).toList();
        health.track(store.read(keys, List.of())).whenComplete((rows, failure) -> {
            readingDeferred = false;
            if (failure != null || stopped) {
                // The next tick tries again.
                return;
            }
            Set<String> stored = new HashSet<>();
            for (Row row : rows) {
                stored.add(Tables.jobId(row.key()));
                addJob(row, loop.nowMs());
            }
            ids.stream().filter(id -> !stored.contains(id)).forEach(dispatcher::forgetDeferred);
            commitPending();
        });
    }

    private void onIntakeLoaded() {
        loop.execute(() -> {
            if (!jobsLoaded) {
                jobsLoaded = true;
                expiry.addOrphans(progress.takeRemaining(Tables.PROGRESS));
                dispatcher.startOrders();
                logLoaded();
            }
            commitPending();
        });
    }

    private void addJob(Row row, long nowMs) {
        String id = Tables.jobId(row.key());
        grants.arrived(id);
        if (dispatcher.contains(id)) {
            return;
        }
        try {
            Optional<JobRecord> record = progress.take(id);
            Optional<JobStatus> ended = JobCodec.decodeEnded(row.value());
            if (ended.isPresent()) {
                dispatcher.addCompact(id, ended.get(), nowMs);
                return;
            }
            if (record.isPresent() && dispatcher.addEnded(id, record.get(), nowMs)) {
                return;
            }
            dispatcher.addJob(JobCodec.decode(row.value()), record, nowMs);
        } catch (JsonSyntaxException | RuntimeException e) {
            // One job that cannot be added must not keep the others from being loaded.
            LOG.log(CoordinatorEvent.ROW_UNREADABLE, "key", row.key(), "problem", String.valueOf(e));
        }
    }

    private void onEvacuations(Set<String> zones, long asOfMs) {
        ZoneEvacuations.Change change = dispatcher.updateEvacuations(zones, asOfMs, loop.nowMs());
        change.begun().forEach(zone -> LOG.log(CoordinatorEvent.ZONE_EVACUATED, "zone", zone));
        change.returned().forEach(zone -> LOG.log(CoordinatorEvent.ZONE_RETURNED, "zone", zone));
        commitPending();
    }

    /** Returns what is foreseen for jobs that come now. */
    Optional<LoadForecast> forecast() {
        return loaded() ? dispatcher.forecast() : Optional.empty();
    }

    /** Returns the zones that are being emptied, with what still runs there. */
    List<ZoneStatus> evacuatedZones() {
        return dispatcher.evacuatedZones(loop.nowMs());
    }

    private void onRunners(List<RunnerEntry> entries) {
        dispatcher.updateRunners(entries);
        if (!runnersLoaded) {
            runnersLoaded = true;
            logLoaded();
        }
        commitPending();
    }

    private void logLoaded() {
        if (loaded()) {
            committer.setLoaded();
            LOG.log(CoordinatorEvent.STATE_LOADED, "tookMs", loop.nowMs() - takeoverMs);
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        // Scheduled first, so that an unexpected exception does not end the ticks.
        loop.schedule(TICK_INTERVAL_MS, this::tick);
        dispatcher.tick(loop.nowMs(), loop.wallClockMs(), committer.maxLeaseMs() > 0);
        if (dispatcher.awaitsRunnerEntry(loop.nowMs())) {
            runnerFeed.readEarly();
        }
        requestAdvice();
        readDeferred();
        commitPending();
    }

    private void requestAdvice() {
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
                .thenAccept(answer -> loop.execute(() -> {
                    LOG.log(CoordinatorEvent.ADVICE_RECEIVED, "step", request.name(), "answer", summary(answer));
                    dispatcher.onAdvice(request, answer, loop.nowMs());
                    requestAdvice();
                    commitPending();
                }));
    }

    private static String summary(AdviceAnswer answer) {
        if (answer instanceof AdviceAnswer.Decided decided) {
            return decided.tickets().size() + " allowed for " + decided.validMs() + " ms";
        }
        return answer instanceof AdviceAnswer.Failed failed ? failed.problem() : "too many calls";
    }

    /** Commits the dispatcher's decisions, unless a commit is in flight or the last one started too recently. */
    private void commitPending() {
        if (stopped || releasing || committer.busy()) {
            return;
        }
        long nowMs = loop.nowMs();
        long waitMs = committer.lastCommitStartMs() + MIN_COMMIT_INTERVAL_MS - nowMs;
        if (waitMs > 0) {
            if (!commitScheduled) {
                commitScheduled = true;
                loop.schedule(waitMs, () -> {
                    commitScheduled = false;
                    commitPending();
                });
            }
            return;
        }
        Optional<Batch> batch = dispatcher.plan(nowMs);
        boolean renew = nowMs - committer.lastCommitStartMs() >= LEASE_RENEWAL_INTERVAL_MS
                || committer.confirmationRequested()
                || dispatcher.leaseBounds().awaitsCommit();
        if (batch.isEmpty() && !renew) {
            return;
        }
        List<Write> writes = new ArrayList<>();
        batch.ifPresent(changes -> writes.addAll(changes.writes()));
        credit().ifPresent(committer::setCredit);
        if (settings.admissionLatenessFactor().isPresent()) {
            committer.setForecast(dispatcher.forecast());
        }
        Optional<Write> estimates = estimatesWrite(nowMs);
        estimates.ifPresent(writes::add);
        List<Write> expired =
                jobsLoaded ? expiry.takeProgressDeletions(MAX_WRITES_PER_COMMIT - writes.size()) : List.of();
        writes.addAll(expired);
        committer.commit(dispatcher.waitingJobs(), dispatcher.leaseBounds().bounds(nowMs), writes, result -> {
            // Deletions that the store rejects are left to the next leader, so that the lease can be renewed.
            if (result == Committer.Result.WITHDRAWN) {
                expiry.restore(expired);
            }
            if (result == Committer.Result.REJECTED) {
                onRejected(batch, writes.size(), estimates.isPresent());
                return;
            }
            if (batch.isEmpty()) {
                return;
            }
            if (result == Committer.Result.COMMITTED) {
                dispatcher.committed(batch.get(), loop.nowMs());
            } else {
                dispatcher.withdrawn(batch.get());
            }
        });
    }

    /** Handles the rejection of a commit's content; the next commit is without the estimates, which may be the cause. */
    private void onRejected(Optional<Batch> batch, int writeCount, boolean withEstimates) {
        LOG.log(CoordinatorEvent.COMMIT_REJECTED, "writes", writeCount, "withEstimates", withEstimates);
        if (batch.isEmpty()) {
            return;
        }
        if (withEstimates) {
            dispatcher.withdrawn(batch.get());
        } else {
            dispatcher.rejected(batch.get(), loop.nowMs());
        }
    }

    private void runExpiry() {
        if (stopped) {
            return;
        }
        loop.schedule(EXPIRY_INTERVAL_MS, this::runExpiry);
        if (jobsLoaded && !releasing) {
            expiry.run(loop.nowMs());
        }
    }

    private final class KnownCancellations implements JobExpiry.EarlyCancellations {

        @Override
        public List<String> before(long timeMs) {
            return dispatcher.retention().cancelledEarlyBefore(timeMs);
        }

        @Override
        public void remove(String id) {
            dispatcher.retention().removeEarlyCancellation(id);
        }
    }
}
