package org.pollensill.runtime.burn;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import org.pollensill.burn.BurnAlert;
import org.pollensill.burn.BurnArchiver;
import org.pollensill.burn.BurnCounters;
import org.pollensill.burn.BurnPage;
import org.pollensill.burn.BurnPublisher;
import org.pollensill.burn.BurnReport;
import org.pollensill.burn.BurnReportLine;
import org.pollensill.burn.BurnText;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.runtime.admin.AdminServer;
import org.pollensill.runtime.admin.Operator;
import org.pollensill.runtime.admin.Right;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.settings.SettingsSnapshot;

/** Writes the service-level burn counters of a process, raises alerts and builds the report over all processes. */
public final class BurnAgent {

    private static final EventLog LOG = EventLog.of(BurnAgent.class);

    /** 300 processes make 10 writes/s. */
    private static final int WRITE_INTERVAL_MS = 30_000;

    private static final long FOLD_INTERVAL_MS = 60_000;

    private final EventLoopGroup loops;
    private final PeerIdentity self;
    private final Supplier<Optional<SettingsSnapshot>> settings;
    private final BooleanSupplier isZoneReader;
    private final LongSupplier nowMs;
    private final BurnCounters counters = BurnCounters.empty();
    private final BurnPublisher publisher;
    private final BurnArchiver archiver;
    private final List<ScheduledFuture<?>> timers = new CopyOnWriteArrayList<>();
    private Set<String> activeAlerts = Set.of();
    private volatile boolean lastWriteSucceeded = true;

    /**
     * Creates the agent, which is idle until {@link #start} is called.
     *
     * @param loops the event loops
     * @param self the identity of this process
     * @param tables the table service
     * @param settings the settings, which contain the objectives
     * @param isZoneReader whether this process archives counters and raises alerts for its zone
     * @param nowMs the wall clock
     */
    public BurnAgent(
            EventLoopGroup loops,
            PeerIdentity self,
            TableService tables,
            Supplier<Optional<SettingsSnapshot>> settings,
            BooleanSupplier isZoneReader,
            LongSupplier nowMs) {
        this.loops = Objects.requireNonNull(loops, "loops is null");
        this.self = Objects.requireNonNull(self, "self is null");
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.isZoneReader = Objects.requireNonNull(isZoneReader, "isZoneReader is null");
        this.nowMs = Objects.requireNonNull(nowMs, "nowMs is null");
        this.publisher = new BurnPublisher(tables, counters, self.zone(), self.host(), self.incarnation());
        this.archiver = new BurnArchiver(tables);
    }

    /**
     * Returns the counters, which callers update once for each request.
     *
     * @return the counters
     */
    public BurnCounters counters() {
        return counters;
    }

    /** Starts the periodic writes of the counters and, on the zone's reader, archiving and alerts. */
    public void start() {
        // A random initial delay spreads the writes of processes that start at the same time.
        int initialDelayMs = new Random().nextInt(WRITE_INTERVAL_MS);
        schedulePeriodically(initialDelayMs, WRITE_INTERVAL_MS, this::write);
        schedulePeriodically(initialDelayMs, FOLD_INTERVAL_MS, this::foldAndAlert);
    }

    private void schedulePeriodically(long delayMs, long periodMs, Runnable task) {
        timers.add(loops.next()
                .scheduleAtFixedRate(
                        () -> {
                            try {
                                task.run();
                            } catch (RuntimeException e) {
                                // An exception would cancel the periodic task.
                                LOG.log(RuntimeEvent.HANDLER_FAILED, e, new Object[0]);
                            }
                        },
                        delayMs,
                        periodMs,
                        TimeUnit.MILLISECONDS));
    }

    /**
     * Stops the timers and writes the counters for the last time.
     *
     * @return whether the last write succeeded
     */
    public CompletableFuture<Boolean> stop() {
        timers.forEach(timer -> timer.cancel(false));
        return write();
    }

    private CompletableFuture<Boolean> write() {
        return publisher.write(nowMs.getAsLong()).thenApply(written -> {
            if (written != lastWriteSucceeded) {
                LOG.log(written ? BurnEvent.WRITE_RECOVERED : BurnEvent.WRITE_FAILED, "host", self.host());
                lastWriteSucceeded = written;
            }
            return written;
        });
    }

    private void foldAndAlert() {
        if (!isZoneReader.getAsBoolean()) {
            return;
        }
        long now = nowMs.getAsLong();
        archiver.read(self.zone())
                .thenCompose(rows -> {
                    logAlertChanges(rows, now);
                    return archiver.archive(self.zone(), rows, now);
                })
                .whenComplete((archived, failure) -> {
                    if (failure == null && archived > 0) {
                        LOG.log(BurnEvent.FOLDED, "rows", archived, "zone", self.zone());
                    }
                });
    }

    private synchronized void logAlertChanges(List<Row> rows, long now) {
        BurnReport report = BurnReport.of(rows, new BurnObjectives(settings.get(), now), now, List.of());
        Set<String> currentAlerts = new HashSet<>();
        for (BurnReportLine line : report.lines()) {
            if (line.zone().isEmpty()) {
                continue;
            }
            for (BurnAlert alert : line.alerts()) {
                String name = line.key() + " " + alert;
                currentAlerts.add(name);
                if (!activeAlerts.contains(name)) {
                    LOG.log(
                            BurnEvent.ALERT_RAISED,
                            "service",
                            line.key().service(),
                            "kind",
                            line.key().kind(),
                            "zone",
                            line.zone(),
                            "alert",
                            alert,
                            "burn",
                            line.burnRates().get(alert.longWindow()),
                            "budgetLeft",
                            line.budgetLeft());
                }
            }
        }
        for (String name : activeAlerts) {
            if (!currentAlerts.contains(name)) {
                LOG.log(BurnEvent.ALERT_ENDED, "alert", name, "zone", self.zone());
            }
        }
        activeAlerts = currentAlerts;
    }

    /**
     * Builds the report over all processes. If the store does not answer, the report covers only this process and
     * contains a remark.
     *
     * @return the report
     */
    public CompletableFuture<BurnReport> report() {
        long now = nowMs.getAsLong();
        BurnObjectives objectives = new BurnObjectives(settings.get(), now);
        return archiver.read("").handle((rows, failure) -> {
            if (failure != null) {
                return BurnReport.of(
                        List.of(publisher.row(now)),
                        objectives,
                        now,
                        List.of("the store does not answer; only " + self.host() + " since its start is counted"));
            }
            // The stored row of this process is replaced by its current counters, which are up to 30 s newer.
            List<Row> currentRows = new ArrayList<>();
            Row own = publisher.row(now);
            rows.stream().filter(row -> !row.key().equals(own.key())).forEach(currentRows::add);
            currentRows.add(own);
            return BurnReport.of(currentRows, objectives, now, List.of());
        });
    }

    /**
     * Registers {@code /burn} with a server.
     *
     * @param server the server
     */
    public void register(AdminServer server) {
        server.route("GET", "/burn", Right.READ, this::handleReport);
    }

    private void handleReport(Operator operator, Request request, Responder responder) {
        report().whenComplete((report, failure) -> {
            if (failure != null) {
                responder.answer(Answer.text(500, failure + "\n"));
            } else if (request.uri().endsWith("format=html")) {
                responder.answer(new Answer(
                        200,
                        Headers.of("Content-Type", "text/html; charset=utf-8"),
                        BurnPage.write(report).getBytes(StandardCharsets.UTF_8)));
            } else if (request.uri().endsWith("format=json")) {
                responder.answer(Answer.json(200, report.toJson()));
            } else {
                responder.answer(Answer.text(200, BurnText.write(report)));
            }
        });
    }
}
