package org.pollensill.coordinator;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import org.pollensill.dispatch.Dispatcher;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.leader.CommitChain;
import org.pollensill.leader.LeaderRow;
import org.pollensill.leader.LeaderWatch;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.net.Addresses;

/** Follows the leader lease and takes it over when it is vacant. */
final class Leadership {

    private static final EventLog LOG = EventLog.of(Leadership.class);

    /** Period of reading the leader row. */
    private static final long WATCH_MS = 500;

    /** A row that did not change for this long has lost its leader: three renewals. */
    private static final long LAPSE_MS = 2_200;

    /** A candidate holds back by this many of its round trips to the store, so that the nearest strong one wins. */
    private static final long ROUND_TRIPS_TO_HOLD_BACK = 15;

    /** Longest time that a candidate leaves to better ones; the first calls of a new process are slow everywhere. */
    private static final long LONGEST_PREFERENCE_MS = 400;

    private static final int RANDOM_DELAY_MS = 60;

    private final Loop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final CoordinatorSettings settings;
    private final CoordinatorMetrics metrics;
    private final CoordinatorContext context;
    private final String incarnation;
    private final LeaderWatch watch = LeaderWatch.of(LAPSE_MS);
    private final ConfigSource config;
    private final Consumer<Optional<LeaderRow>> onLeader;
    private Optional<LeaderSession> session = Optional.empty();
    private boolean campaigning;
    private boolean reading;
    /** Whether the row may have changed since the read in flight was sent. */
    private boolean readAgain;

    private boolean stopping;
    private String lastSeen = "";

    /** The configuration that a new leader begins with. */
    @FunctionalInterface
    interface ConfigSource {
        Optional<QueueCatalogue> current();
    }

    Leadership(
            CoordinatorContext context,
            String incarnation,
            ConfigSource config,
            Consumer<Optional<LeaderRow>> onLeader) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.loop = context.loop();
        this.store = context.store();
        this.health = context.health();
        this.settings = context.settings();
        this.metrics = context.metrics();
        this.incarnation = incarnation;
        this.config = config;
        this.onLeader = onLeader;
    }

    void start() {
        watchRow();
    }

    Optional<LeaderSession> session() {
        return session;
    }

    Optional<LeaderRow> leader() {
        return watch.row().filter(row -> !row.released());
    }

    void setCatalogue(QueueCatalogue catalogue) {
        session.ifPresent(running -> running.setCatalogue(catalogue));
        considerCampaign();
    }

    /** Notes that the leader's process has ended or given up its lease, and looks at the row at once. */
    void onLeaderGone(String leaderIncarnation, boolean proven) {
        watch.onLeaderGone(leaderIncarnation, proven);
        loop.run(() -> {
            readAgain = reading;
            readRow();
        });
    }

    /**
     * Campaigns no more, and gives up the lease if this process holds it.
     *
     * @param released runs when the lease is given up, at once where this process does not lead
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

    private void watchRow() {
        readRow();
        loop.after(WATCH_MS, this::watchRow);
    }

    private void readRow() {
        if (reading || campaigning || stopping || session.isPresent()) {
            return;
        }
        reading = true;
        long sentMs = loop.nowMs();
        health.watch(store.read(List.of(Tables.LEADER_KEY), List.of())).whenComplete((rows, failure) -> {
            reading = false;
            if (readAgain) {
                readAgain = false;
                readRow();
                return;
            }
            if (failure != null) {
                return;
            }
            Optional<Row> row = rows.stream().findFirst();
            watch.onRow(row.flatMap(Leadership::decode), row.map(Row::version).orElse(0L), sentMs);
            noteLeader();
            considerCampaign();
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

    private void noteLeader() {
        onLeader.accept(leader());
        String seen = leader().map(LeaderRow::incarnation).orElse("");
        if (!seen.equals(lastSeen)) {
            lastSeen = seen;
            leader().ifPresent(
                            row -> LOG.log(CoordinatorEvent.LEADER_SEEN, "leader", row.leader(), "fence", row.fence()));
        }
    }

    private void considerCampaign() {
        if (campaigning || stopping || session.isPresent() || config.current().isEmpty()) {
            return;
        }
        long preferenceMs = (long) (ROUND_TRIPS_TO_HOLD_BACK * health.roundTripMs() / settings.strength());
        long holdBackMs = Math.min(LONGEST_PREFERENCE_MS, preferenceMs)
                + ThreadLocalRandom.current().nextInt(RANDOM_DELAY_MS);
        if (watch.shouldCampaign(loop.nowMs(), holdBackMs)) {
            campaign();
            return;
        }
        if (watch.vacant()) {
            loop.after(holdBackMs, this::considerCampaign);
        }
    }

    private void campaign() {
        campaigning = true;
        long fence = watch.row().map(LeaderRow::fence).orElse(0L) + 1;
        boolean formerSilent = watch.formerSilent();
        LeaderRow candidate = new LeaderRow(
                settings.name(),
                incarnation,
                Addresses.format(settings.peerAddress()),
                fence,
                0,
                false,
                watch.row().map(LeaderRow::waitingJobs).orElse(Map.of()));
        CommitChain chain = CommitChain.campaign(Tables.LEADER_KEY, candidate, watch.rowVersion());
        chain.begin(candidate.waitingJobs(), false, List.of());
        send(chain, formerSilent);
    }

    private void send(CommitChain chain, boolean formerSilent) {
        health.watch(store.commit(chain.current())).whenComplete((outcome, failure) -> {
            CommitChain.Next next =
                    failure == null ? chain.onOutcome(outcome) : chain.onFailure(PlatformException.effectOf(failure));
            settle(chain, formerSilent, next);
        });
    }

    private void settle(CommitChain chain, boolean formerSilent, CommitChain.Next next) {
        switch (next) {
            case COMMITTED:
                lead(chain, formerSilent);
                return;
            case READ_ROW, REPEAT:
                // A repeated campaign could win long after its reasons have passed, so the row decides.
                loop.after(
                        WATCH_MS / 2,
                        () -> health.watch(store.read(List.of(Tables.LEADER_KEY), List.of()))
                                .whenComplete((rows, failure) -> {
                                    if (failure != null) {
                                        settle(chain, formerSilent, CommitChain.Next.READ_ROW);
                                        return;
                                    }
                                    CommitChain.Next found =
                                            chain.onRow(rows.stream().findFirst());
                                    if (found == CommitChain.Next.REPEAT) {
                                        send(chain, formerSilent);
                                        return;
                                    }
                                    settle(chain, formerSilent, found);
                                }));
                return;
            default:
                campaigning = false;
                LOG.log(CoordinatorEvent.CAMPAIGN_LOST);
                readRow();
        }
    }

    private void lead(CommitChain chain, boolean formerSilent) {
        campaigning = false;
        onLeader.accept(Optional.empty());
        LOG.log(CoordinatorEvent.LEADING, "fence", chain.row().fence(), "formerSilent", formerSilent);
        metrics.leading(true);
        LeaderSession leading =
                new LeaderSession(context, chain, formerSilent ? 0 : Dispatcher.unconfirmedHoldMs(), this::deposed);
        session = Optional.of(leading);
        if (stopping) {
            leading.release(() -> session = Optional.empty());
            return;
        }
        leading.start(config.current());
    }

    private void deposed() {
        LOG.log(CoordinatorEvent.DEPOSED);
        metrics.leading(false);
        session.ifPresent(LeaderSession::stop);
        session = Optional.empty();
        readRow();
    }
}
