package org.pollensill.coordinator;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import org.pollensill.admission.LoadForecast;
import org.pollensill.admission.MemoryCredit;
import org.pollensill.admission.MemoryGrants;
import org.pollensill.dispatch.InheritedLeases;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.leader.CommitChain;
import org.pollensill.leader.LeaderRow;
import org.pollensill.leader.LeaderWatch;
import org.pollensill.leader.LeaseBounds;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.net.Addresses;

/** Polls the leader row, and campaigns for the leader lease when it is vacant or has expired. */
final class LeaderElector {

    private static final EventLog LOG = EventLog.of(LeaderElector.class);

    /** Interval between two reads of the leader row. */
    private static final long POLL_INTERVAL_MS = 500;

    /** Time without a change of the leader row after which its lease has expired: three renewals. */
    private static final long LEASE_TIMEOUT_MS = 2_200;

    /** Campaign delay in round trips to the store, so that of equal candidates the nearest wins. */
    private static final long CAMPAIGN_DELAY_ROUND_TRIPS = 15;

    /** Upper bound of that delay; the first calls of any new process are slow, and so is the store at times. */
    private static final long MAX_DISTANCE_DELAY_MS = 200;

    /** Additional delay of a candidate without any weight; a strong one wins first, however slow the store is. */
    private static final long MAX_WEAKNESS_DELAY_MS = 400;

    private static final int MAX_JITTER_MS = 60;

    /** Age of a copy of the leader's forecast from which on it is not used: two renewals of the lease and one poll. */
    private static final long MAX_FORECAST_AGE_MS = 2_000;

    private final CoordinatorLoop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final CoordinatorSettings settings;
    private final CoordinatorMetrics metrics;
    private final CoordinatorContext context;
    private final String incarnation;
    private final LeaderWatch watch = LeaderWatch.of(LEASE_TIMEOUT_MS);
    private final ConfigSource configSource;
    private final Consumer<Optional<LeaderRow>> leaderListener;
    private Optional<LeaderSession> session = Optional.empty();
    private boolean campaigning;
    private boolean reading;
    /** Whether the leader row may have changed after the read in flight was sent. */
    private boolean rereadRequested;

    private boolean stopping;
    /** The latest format of stored jobs that all members read. */
    private int memberCount;

    private int commonFormat = Member.PROGRESS_IN_ONE_ROW;

    private String lastIncarnation = "";

    /** Supplies the configuration in force. */
    @FunctionalInterface
    interface ConfigSource {
        Optional<QueueCatalogue> current();
    }

    LeaderElector(
            CoordinatorContext context,
            String incarnation,
            ConfigSource configSource,
            Consumer<Optional<LeaderRow>> leaderListener) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.loop = context.loop();
        this.store = context.store();
        this.health = context.health();
        this.settings = context.settings();
        this.metrics = context.metrics();
        this.incarnation = incarnation;
        this.configSource = configSource;
        this.leaderListener = leaderListener;
    }

    void start() {
        pollLeaderRow();
    }

    Optional<LeaderSession> session() {
        return session;
    }

    Optional<LeaderRow> leader() {
        return watch.row().filter(row -> !row.released());
    }

    /** Returns the leader's forecast, its own or a copy of bounded age; empty where there is none. */
    Optional<LoadForecast> forecast() {
        if (session.isPresent()) {
            return session.get().forecast();
        }
        boolean recent = loop.nowMs() - watch.rowSeenAtMs() <= MAX_FORECAST_AGE_MS;
        return recent ? leader().flatMap(LeaderRow::forecast) : Optional.empty();
    }

    /** Returns the memory for further jobs that a leader has given last, empty where none is known. */
    Optional<MemoryCredit> credit() {
        Optional<MemoryCredit> own = session.flatMap(LeaderSession::credit);
        return own.isPresent() ? own : formerCredit();
    }

    /** Returns the credit in the leader row, that before the first leader where the store has no row. */
    private Optional<MemoryCredit> formerCredit() {
        return watch.neverLed()
                ? Optional.of(MemoryGrants.firstCredit())
                : watch.row().flatMap(LeaderRow::credit);
    }

    /** Sets the live members; a format of stored jobs is used only once all of them can read it. */
    void setMembers(Map<String, Member> members) {
        commonFormat =
                members.values().stream().mapToInt(Member::progressFormat).min().orElse(Member.PROGRESS_IN_ONE_ROW);
        memberCount = members.size();
        session.ifPresent(running -> {
            running.allowFormat(commonFormat);
            running.setCoordinators(memberCount);
        });
    }

    void setCatalogue(QueueCatalogue catalogue) {
        session.ifPresent(running -> running.setCatalogue(catalogue));
        campaignIfVacant();
    }

    /** Records that the leader's process has ended or released its lease, and reads the leader row at once. */
    void onLeaderUnavailable(String leaderIncarnation, boolean confirmed) {
        watch.onLeaderUnavailable(leaderIncarnation, confirmed);
        loop.execute(() -> {
            rereadRequested = reading;
            readLeaderRow();
        });
    }

    /**
     * Stops campaigning, and releases the lease if this process holds it.
     *
     * @param released runs when the lease is released, at once if this process is not the leader
     */
    void stop(Runnable released) {
        stopping = true;
        if (session.isEmpty()) {
            released.run();
            return;
        }
        session.get().release(() -> {
            session = Optional.empty();
            metrics.leading(false);
            released.run();
        });
    }

    private void pollLeaderRow() {
        loop.schedule(POLL_INTERVAL_MS, this::pollLeaderRow);
        readLeaderRow();
    }

    private void readLeaderRow() {
        if (reading || campaigning || stopping || session.isPresent()) {
            return;
        }
        reading = true;
        long sentMs = loop.nowMs();
        health.track(store.read(List.of(Tables.LEADER_KEY), List.of())).whenComplete((rows, failure) -> {
            reading = false;
            if (rereadRequested) {
                rereadRequested = false;
                readLeaderRow();
                return;
            }
            if (failure != null) {
                return;
            }
            Optional<Row> row = rows.stream().findFirst();
            watch.onRow(
                    row.flatMap(LeaderElector::decode), row.map(Row::version).orElse(0L), sentMs, loop.nowMs());
            publishLeader();
            campaignIfVacant();
        });
    }

    private static Optional<LeaderRow> decode(Row row) {
        try {
            return Optional.of(LeaderRow.decode(row.value()));
        } catch (JsonSyntaxException e) {
            LOG.log(CoordinatorEvent.ROW_UNREADABLE, "key", row.key(), "problem", e.getMessage());
            return Optional.empty();
        }
    }

    private void publishLeader() {
        leaderListener.accept(leader());
        String currentIncarnation = leader().map(LeaderRow::incarnation).orElse("");
        if (!currentIncarnation.equals(lastIncarnation)) {
            lastIncarnation = currentIncarnation;
            leader().ifPresent(row ->
                    LOG.log(CoordinatorEvent.LEADER_OBSERVED, "leader", row.leader(), "fence", row.fencingToken()));
        }
    }

    private void campaignIfVacant() {
        if (campaigning
                || stopping
                || session.isPresent()
                || configSource.current().isEmpty()) {
            return;
        }
        long delayMs = preferenceDelayMs(health.roundTripMs(), settings.leaderWeight())
                + ThreadLocalRandom.current().nextInt(MAX_JITTER_MS);
        if (watch.shouldCampaign(loop.nowMs(), delayMs)) {
            campaign();
            return;
        }
        if (watch.vacant()) {
            loop.schedule(delayMs, this::campaignIfVacant);
        }
    }

    /** Returns the campaign delay by which the strongest candidate wins, and of equal ones the nearest to the store. */
    static long preferenceDelayMs(long roundTripMs, double weight) {
        long distanceDelayMs = Math.min(MAX_DISTANCE_DELAY_MS, CAMPAIGN_DELAY_ROUND_TRIPS * roundTripMs);
        return distanceDelayMs + Math.round((1 - weight) * MAX_WEAKNESS_DELAY_MS);
    }

    private void campaign() {
        campaigning = true;
        long fencingToken = watch.row().map(LeaderRow::fencingToken).orElse(0L) + 1;
        InheritedLeases inherited = inheritedLeases();
        LeaderRow candidate = new LeaderRow(
                settings.name(),
                incarnation,
                Addresses.format(settings.peerAddress()),
                fencingToken,
                0,
                false,
                watch.row().map(LeaderRow::waitingJobs).orElse(Map.of()),
                Optional.of(inherited.remaining(loop.nowMs())),
                false,
                Optional.empty(),
                formerCredit());
        CommitChain chain = CommitChain.campaign(Tables.LEADER_KEY, candidate, watch.rowVersion());
        chain.setLoading(true);
        chain.begin(candidate.waitingJobs(), inherited.remaining(loop.nowMs()), false, List.of());
        send(chain, inherited);
    }

    /** Returns the leases of former leaders according to the leader row. */
    private InheritedLeases inheritedLeases() {
        long nowMs = loop.nowMs();
        if (watch.rowVersion() == Condition.ABSENT) {
            return InheritedLeases.unrecorded(nowMs);
        }
        // A row that cannot be decoded says nothing about its leader.
        return InheritedLeases.of(
                watch.row().flatMap(LeaderRow::leases),
                watch.rowSeenAtMs(),
                watch.row().isPresent() && watch.formerLeaderStopped(),
                nowMs);
    }

    private void send(CommitChain chain, InheritedLeases inherited) {
        health.track(store.commit(chain.current())).whenComplete((outcome, failure) -> {
            CommitChain.Next next =
                    failure == null ? chain.onOutcome(outcome) : chain.onFailure(PlatformException.effectOf(failure));
            onNext(chain, inherited, next);
        });
    }

    private void onNext(CommitChain chain, InheritedLeases inherited, CommitChain.Next next) {
        switch (next) {
            case COMMITTED:
                startLeading(chain, inherited);
                return;
            case READ_ROW, REPEAT:
                // A retried commit could take the lease long after it was vacant, so the row is read first.
                loop.schedule(
                        POLL_INTERVAL_MS / 2,
                        () -> health.track(store.read(List.of(Tables.LEADER_KEY), List.of()))
                                .whenComplete((rows, failure) -> {
                                    if (failure != null) {
                                        onNext(chain, inherited, CommitChain.Next.READ_ROW);
                                        return;
                                    }
                                    CommitChain.Next reread =
                                            chain.onRow(rows.stream().findFirst());
                                    if (reread == CommitChain.Next.REPEAT) {
                                        send(chain, inherited);
                                        return;
                                    }
                                    onNext(chain, inherited, reread);
                                }));
                return;
            default:
                campaigning = false;
                LOG.log(CoordinatorEvent.CAMPAIGN_LOST);
                readLeaderRow();
        }
    }

    private void startLeading(CommitChain chain, InheritedLeases inherited) {
        campaigning = false;
        leaderListener.accept(Optional.empty());
        LOG.log(
                CoordinatorEvent.LEASE_ACQUIRED,
                "fence",
                chain.row().fencingToken(),
                "formerStopped",
                watch.formerLeaderStopped(),
                "formerLeasesMs",
                chain.row().leases().map(LeaseBounds::formerMs).orElse(0L),
                "namedRunners",
                chain.row().leases().map(bounds -> bounds.runners().size()).orElse(0));
        metrics.leading(true);
        LeaderSession newSession = new LeaderSession(context, chain, inherited, this::onDeposed);
        session = Optional.of(newSession);
        if (stopping) {
            newSession.release(() -> session = Optional.empty());
            return;
        }
        newSession.setCoordinators(memberCount);
        newSession.start(configSource.current(), commonFormat);
    }

    private void onDeposed() {
        LOG.log(CoordinatorEvent.LEASE_LOST);
        metrics.leading(false);
        session.ifPresent(LeaderSession::stop);
        session = Optional.empty();
        readLeaderRow();
    }
}
