package org.pollensill.entry;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.pollensill.burn.Cause;
import org.pollensill.claim.ClaimSettings;
import org.pollensill.claim.ClaimTable;
import org.pollensill.contract.PoolLoad;
import org.pollensill.error.PollensillException;
import org.pollensill.platform.TableService;
import org.pollensill.runtime.admin.AdminServer;
import org.pollensill.runtime.admin.OperatorTokens;
import org.pollensill.runtime.boot.BootFile;
import org.pollensill.runtime.boot.BootFileException;
import org.pollensill.runtime.boot.Daemon;
import org.pollensill.runtime.burn.BurnAgent;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.http.ClientLimits;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.HttpLimits;
import org.pollensill.runtime.http.HttpServer;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.EventLoops;
import org.pollensill.runtime.net.Tls;
import org.pollensill.runtime.peer.FleetToken;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.runtime.peer.PeerLink;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.platform.HttpHostList;
import org.pollensill.runtime.platform.HttpObjectStore;
import org.pollensill.runtime.platform.HttpTableService;
import org.pollensill.runtime.settings.SettingsAdmin;
import org.pollensill.runtime.settings.SettingsAgent;
import org.pollensill.runtime.zone.ZoneAdmin;
import org.pollensill.runtime.zone.ZoneAgent;
import org.pollensill.settings.Effective;
import org.pollensill.zone.RunningWork;

/** Entry daemon. Creates and connects listeners, pools, peers and timers. */
final class EntryDaemon implements Daemon {

    private static final EventLog LOG = EventLog.of(EntryDaemon.class);
    private static final int IO_THREADS = 2;
    /** No wait queue, because the requests of one process to an upstream never exceed its slots. */
    private static final ClientLimits UPSTREAM_LIMITS = new ClientLimits(8, 0, 1_000, 10_000, 16 << 20);
    /** Probes use a separate connection, so that they work while all slots are in use. */
    private static final ClientLimits PROBE_LIMITS = new ClientLimits(1, 1, 1_000, 5_000, 1 << 16);

    /** Timer resolution of deadlines, hedges and group commits while requests are in progress. */
    private static final long TICK_MS = 5;
    /** Timer resolution without requests. At 5 ms an idle daemon used 7% of a core, mostly for wake-ups. */
    private static final long IDLE_TICK_MS = 50;

    private static final long OWNERSHIP_CHECK_MS = 100;
    private static final long HOST_POLL_MS = 1_000;
    private static final long SHIFT_CHECK_MS = 1_000;
    private static final long LOAD_REPORT_MS = 200;
    private static final int MAX_SKIPPED_REPORTS = 5;
    private static final long OWNER_LIVENESS_CHECK_MS = 250;
    /** Maximum time until a process becomes ready, even if its zone has no upstream. */
    private static final long MAX_WARM_UP_MS = 10_000;

    private static final int MAX_TRACED_REQUESTS = 2_000;
    private static final long DEFAULT_DRAIN_MS = 10_000;

    private final BootFile boot;
    private final PeerIdentity self;
    private final EventLoopGroup loops = EventLoops.of(IO_THREADS);
    private final PrometheusRegistry metrics = new PrometheusRegistry();
    private final AdminServer admin;
    private final PeerHub hub;
    private final ZoneAgent zone;
    private final HttpClient upstreamClient = HttpClient.of(loops, UPSTREAM_LIMITS);
    private final RequestTraces traces = new RequestTraces(MAX_TRACED_REQUESTS);
    private final LocalPools pools;
    private final Forwarder forwarder;
    private final OwnerRouter ownerRouter;
    private final RegionLinks links;
    private final ClaimTable claims;
    private final DeduplicatingRouter requestRouter;
    private final HostPoller hostPoller;
    private final SettingsAgent settings;
    private final BurnAgent burn;
    private HttpServer callers;
    private HttpServer operators;
    private volatile boolean draining;
    private volatile boolean warmedUp;
    private Effective appliedSettings;
    private List<PoolLoad> lastReport = List.of();
    private int skippedReports;

    EntryDaemon(BootFile boot) throws PollensillException {
        this.boot = Objects.requireNonNull(boot, "boot is null");
        if (boot.callerAddress().isEmpty()) {
            throw new BootFileException(java.nio.file.Path.of(boot.host()), List.of("callerAddress is missing"));
        }
        OperatorTokens tokens = boot.operatorTokensFile().isPresent()
                ? OperatorTokens.read(boot.operatorTokensFile().get())
                : OperatorTokens.empty();
        admin = new AdminServer(tokens, metrics);
        self = new PeerIdentity(
                "entry",
                boot.region(),
                boot.zone(),
                boot.host(),
                UUID.randomUUID().toString(),
                Addresses.format(boot.peerAddress()));
        hub = new PeerHub(loops, self, FleetToken.of(boot.fleetToken()));
        HttpClient platformClient = HttpClient.of(loops, ClientLimits.PLATFORM);
        TableService tables = new HttpTableService(platformClient, boot.tables());
        zone = ZoneAgent.of(hub, self, boot.peers(), ZoneOwnership.SLICES, tables, this::running);
        UpstreamOwnership ownership = new ZoneOwnership(zone);
        pools = new LocalPools(upstreamClient, HttpClient.of(loops, PROBE_LIMITS), ownership, System::nanoTime, traces);
        PeerLoads loads = new PeerLoads();
        forwarder = new Forwarder(hub, pools, loads, loops, System::nanoTime, traces, this::answerSent);
        links = new RegionLinks(boot.region(), this::entryHostsOfRegion);
        OwnerCandidates candidates =
                new OwnerCandidates(boot, pools, loads, links, this::effective, RandomGenerator.getDefault());
        ownerRouter = new OwnerRouter(pools, forwarder, candidates, System::nanoTime);
        hostPoller = new HostPoller(boot, new HttpHostList(platformClient, boot.hosts()), hub, zone, pools);
        claims = ClaimTable.of(
                ClaimSettings.standard(boot.host(), self.incarnation()),
                RandomGenerator.getDefault(),
                System.nanoTime());
        requestRouter = new DeduplicatingRouter(
                claims, tables, ownerRouter, new ClaimQueries(hub), loops, System::nanoTime, traces);
        settings = new SettingsAgent(
                loops,
                hub,
                self,
                tables,
                new HttpObjectStore(platformClient, boot.objects()),
                this::isZoneStoreReader,
                System::currentTimeMillis);
        burn = new BurnAgent(loops, self, tables, settings::state, this::isZoneStoreReader, System::currentTimeMillis);
        hub.add(forwarder);
    }

    @Override
    public void start() throws PollensillException {
        long startNs = System.nanoTime();
        admin.readinessCheck(() -> checkWarmUp(startNs));
        admin.readinessCheck(() -> draining ? Optional.of("shutting down") : Optional.empty());
        SettingsAdmin.register(admin, settings, self, System::currentTimeMillis);
        new EntryAdmin(boot, pools, hub, traces, this::degradations).addRoutes(admin);
        operators =
                HttpServer.listen(loops, boot.adminAddress(), HttpLimits.OPERATORS, Tls.server(boot.adminTls()), admin);
        hub.start(boot.peerAddress());
        CallerRequestReader reader = new CallerRequestReader(EntryDaemon::newRequestId);
        ServiceLevelRecorder levelRecorder =
                new ServiceLevelRecorder(burn.counters(), settings::effective, this::backgroundCause);
        CallerHandler handler = new CallerHandler(
                reader,
                settings::effective,
                requestRouter,
                new RequestMetrics(metrics),
                levelRecorder,
                System::nanoTime,
                traces);
        callers = HttpServer.listen(
                loops, boot.callerAddress().orElseThrow(), HttpLimits.CALLERS, Tls.server(boot.callerTls()), handler);
        settings.start();
        burn.register(admin);
        ZoneAdmin.register(admin, zone);
        burn.start();
        settings.onChange(snapshot -> applySettings());
        Timers timers = new Timers(loops);
        // Shifts start and end without a new settings revision.
        timers.every(SHIFT_CHECK_MS, this::applySettings);
        timers.adaptive(TICK_MS, IDLE_TICK_MS, this::isBusy, this::tick);
        timers.every(OWNERSHIP_CHECK_MS, pools::refreshOwnership);
        zone.start(loops);
        timers.every(HOST_POLL_MS, hostPoller::poll);
        timers.every(LOAD_REPORT_MS, this::reportLoad);
        timers.every(OWNER_LIVENESS_CHECK_MS, forwarder::failOverFromUnresponsiveOwners);
    }

    /** Returns why the process is not ready. Without a usable upstream it would refuse all traffic of the balancer. */
    private Optional<String> checkWarmUp(long startNs) {
        boolean overdue = System.nanoTime() - startNs > MAX_WARM_UP_MS * 1_000_000;
        boolean configured =
                effective().map(values -> !values.services().isEmpty()).orElse(false);
        if (warmedUp || overdue || !configured) {
            return Optional.empty();
        }
        warmedUp = ownerRouter.canServe(effective().orElseThrow().services());
        return warmedUp ? Optional.empty() : Optional.of("no upstream can be used yet");
    }

    private boolean isBusy() {
        return claims.size() > 0 || ownerRouter.pending() > 0 || pools.pending() > 0;
    }

    private void tick() {
        if (claims.size() > 0) {
            requestRouter.tick();
        }
        pools.tick();
    }

    private List<RunningWork> running(int slice) {
        return pools.running(slice);
    }

    /** Returns whether this process reads the store for its zone: the first member of its view, or all without one. */
    private boolean isZoneStoreReader() {
        return zone.view()
                .map(view -> view.members().isEmpty()
                        || view.members().get(0).incarnation().equals(self.incarnation()))
                .orElse(true);
    }

    /** Returns the current cause of error-budget burn for requests whose outcome does not identify one. */
    private Cause backgroundCause() {
        if (pools.hasHalfAllowance()) {
            return Cause.TAKEOVER;
        }
        return settings.isStoreReachable() ? Cause.OTHER : Cause.STORE;
    }

    private synchronized void applySettings() {
        Optional<Effective> values = settings.effective();
        if (values.isPresent() && values.get() != appliedSettings) {
            appliedSettings = values.get();
            pools.settingsChanged(appliedSettings);
            requestRouter.setAnswerStoreBytes(appliedSettings.entry().answerStoreBytes());
            claims.settingsChanged(ClaimSettings.standard(boot.host(), self.incarnation())
                    .with(
                            appliedSettings.entry().claimCommitsPerSecond(),
                            appliedSettings.entry().answerStoreBytes()));
        }
    }

    private List<String> degradations() {
        return hostPoller.isAvailable() ? List.of() : List.of("the host list cannot be read");
    }

    private void reportLoad() {
        List<PoolLoad> loads = pools.loads();
        if (loads.equals(lastReport) && ++skippedReports < MAX_SKIPPED_REPORTS) {
            return;
        }
        lastReport = loads;
        skippedReports = 0;
        Envelope report = PeerMessages.report(loads);
        for (PeerLink link : hub.links()) {
            if (link.peer().role().equals("entry")) {
                sendReport(link, report);
            }
        }
    }

    private void sendReport(PeerLink link, Envelope report) {
        if (!link.peer().region().equals(boot.region())) {
            effective()
                    .ifPresent(values -> links.recordControl(
                            values, link.peer().region(), report.getSerializedSize(), System.nanoTime()));
        }
        link.send(report);
    }

    private void answerSent(PeerIdentity peer, CallerRequest request, long bytes) {
        if (!peer.region().equals(boot.region())) {
            effective()
                    .ifPresent(values -> links.recordAnswer(
                            values,
                            peer.region(),
                            OwnerCandidates.linkClass(request, values),
                            bytes,
                            System.nanoTime()));
        }
    }

    private Optional<Effective> effective() {
        return settings.effective();
    }

    /** Returns the number of entry hosts that share the links to other regions: this one and its connected peers. */
    private int entryHostsOfRegion() {
        int hosts = 1;
        for (PeerLink link : hub.links()) {
            if (link.peer().role().equals("entry") && link.peer().region().equals(boot.region())) {
                hosts++;
            }
        }
        return hosts;
    }

    private static String newRequestId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return new UUID(random.nextLong(), random.nextLong()).toString();
    }

    @Override
    public void stop() {
        draining = true;
        long drainMs =
                settings.effective().map(values -> values.entry().drainMs()).orElse(DEFAULT_DRAIN_MS);
        new GracefulShutdown(new ShutdownSteps()).run(drainMs);
    }

    private final class ShutdownSteps implements GracefulShutdown.Steps {

        @Override
        public CompletableFuture<Void> handOver() {
            return zone.leave().thenRun(() -> LOG.log(EntryEvent.HANDED_OVER, "host", boot.host()));
        }

        @Override
        public CompletableFuture<Void> stopCallers() {
            return callers.stop();
        }

        @Override
        public void refuseForwards() {
            pools.drain();
        }

        @Override
        public int pending() {
            return pools.pending();
        }

        @Override
        public CompletableFuture<Boolean> writeCounters() {
            settings.stop();
            return burn.stop();
        }

        @Override
        public void close() {
            hub.close();
            operators.close();
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }
}
