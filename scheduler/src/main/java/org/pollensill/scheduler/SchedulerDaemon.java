package org.pollensill.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.pollensill.batch.ShardOwner;
import org.pollensill.batch.ShardPath;
import org.pollensill.error.PollensillException;
import org.pollensill.platform.ObjectStore;
import org.pollensill.platform.TableService;
import org.pollensill.runtime.admin.AdminServer;
import org.pollensill.runtime.admin.OperatorTokens;
import org.pollensill.runtime.boot.BootFile;
import org.pollensill.runtime.boot.Daemon;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;
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
import org.pollensill.runtime.platform.HttpHostList;
import org.pollensill.runtime.platform.HttpObjectStore;
import org.pollensill.runtime.platform.HttpTableService;
import org.pollensill.runtime.settings.SettingsAdmin;
import org.pollensill.runtime.settings.SettingsAgent;
import org.pollensill.runtime.zone.ZoneAdmin;
import org.pollensill.runtime.zone.ZoneAgent;
import org.pollensill.settings.Effective;
import org.pollensill.settings.Place;

/** The batch scheduler of a zone: the owners of its shards on event loops, with operators' calls. */
public final class SchedulerDaemon implements Daemon {

    private static final EventLog LOG = EventLog.of(SchedulerDaemon.class);
    private static final int THREADS = 2;
    private static final long TICK_MS = 50;
    private static final long HOSTS_INTERVAL_MS = 1_000;
    private static final long SETTINGS_INTERVAL_MS = 1_000;
    private static final long SETTLE_MS = 3_000;
    private static final long SETTLE_STEP_MS = 20;

    private final BootFile boot;
    private final OperatorTokens tokens;
    private final EventLoopGroup loops = EventLoops.of(THREADS);
    private final HttpClient client = HttpClient.of(loops, ClientLimits.PLATFORM);
    private final AdminServer routes;
    private final PeerHub hub;
    private final PeerIdentity self;
    private final SettingsAgent settings;
    private final ZoneAgent zone;
    private final ShardOwnership ownership;
    private final HostWatch hosts;
    private final List<ShardDriver> shards;
    private HttpServer admin;
    private Effective applied;
    private Effective appliedAhead;
    private volatile boolean stopping;

    /**
     * Creates the daemon without starting it.
     *
     * @param boot the boot file's values
     * @throws PollensillException if the operators' tokens cannot be read
     */
    public SchedulerDaemon(BootFile boot) throws PollensillException {
        this.boot = Objects.requireNonNull(boot, "boot is null");
        tokens = boot.operatorTokensFile().isPresent()
                ? OperatorTokens.read(boot.operatorTokensFile().get())
                : OperatorTokens.empty();
        routes = new AdminServer(tokens, new PrometheusRegistry());
        String incarnation = UUID.randomUUID().toString();
        self = new PeerIdentity(
                "scheduler",
                boot.region(),
                boot.zone(),
                boot.host(),
                incarnation,
                Addresses.format(boot.peerAddress()));
        hub = new PeerHub(loops, self, FleetToken.of(boot.fleetToken()));
        TableService tables = new HttpTableService(client, boot.tables());
        ObjectStore objects = new HttpObjectStore(client, boot.objects());
        // A shard's tasks are found by asking its workers, so a release lists nothing.
        zone = ZoneAgent.of(hub, self, boot.peers(), ShardPath.SHARDS, tables, slice -> List.of());
        ownership = new ZoneShardOwnership(zone, boot.zone(), tables, loops);
        settings = new SettingsAgent(loops, hub, self, tables, objects, () -> true, System::currentTimeMillis);
        WorkerClient workers = new WorkerClient(client);
        String name = ZoneShardOwnership.ownerName(Addresses.format(boot.adminAddress()), incarnation);
        SplittableRandom random = new SplittableRandom(incarnation.hashCode() ^ System.nanoTime());
        List<ShardDriver> drivers = new ArrayList<>();
        for (int shard = 0; shard < ShardPath.SHARDS; shard++) {
            ShardPath path = new ShardPath(boot.zone(), shard);
            ShardOwner owner = ShardOwner.of(path, name, random.split());
            drivers.add(new ShardDriver(path, owner, ownership, tables, objects, workers));
        }
        shards = List.copyOf(drivers);
        hosts = new HostWatch(boot, new HttpHostList(client, boot.hosts()), hub, zone, shards);
    }

    @Override
    public void start() throws PollensillException {
        routes.readinessCheck(this::notReady);
        routes.readinessCheck(settings::notReadyReason);
        SettingsAdmin.register(routes, settings, self, System::currentTimeMillis);
        ZoneAdmin.register(routes, zone);
        new JobRoutes(shards, ownership).addTo(routes);
        admin = HttpServer.listen(
                loops, boot.adminAddress(), HttpLimits.OPERATORS, Tls.server(boot.adminTls()), routes);
        hub.start(boot.peerAddress());
        settings.start();
        ownership.start();
        every(HOSTS_INTERVAL_MS, hosts::poll);
        every(SETTINGS_INTERVAL_MS, this::applySettings);
        shards.forEach(shard -> every(TICK_MS, shard::tick));
    }

    private void every(long periodMs, Runnable action) {
        loops.next()
                .scheduleWithFixedDelay(
                        () -> {
                            try {
                                action.run();
                            } catch (RuntimeException e) {
                                // A failed round must not end the timer.
                                LOG.log(RuntimeEvent.HANDLER_FAILED, e, new Object[0]);
                            }
                        },
                        0,
                        periodMs,
                        TimeUnit.MILLISECONDS);
    }

    private Optional<String> notReady() {
        if (stopping) {
            return Optional.of("shutting down");
        }
        return hosts.hasRead() ? Optional.empty() : Optional.of("the host list has not been read yet");
    }

    /** Applies new revisions, and shifts that begin or end now or within the headroom's lead. */
    private synchronized void applySettings() {
        Optional<Effective> now = settings.effective();
        if (now.isEmpty()) {
            return;
        }
        long aheadMs = System.currentTimeMillis() + now.get().batch().headroomLeadMs();
        boolean sameAhead = appliedAhead != null && aheadMs < appliedAhead.validUntilMs();
        if (now.get() == applied && sameAhead) {
            return;
        }
        applied = now.get();
        appliedAhead = settings.state().orElseThrow().tree().effective(new Place(boot.region(), boot.zone()), aheadMs);
        for (int shard = 0; shard < shards.size(); shard++) {
            shards.get(shard).settings(BatchSettingsReader.read(applied, appliedAhead, shard));
        }
    }

    @Override
    public void stop() {
        stopping = true;
        shards.forEach(ShardDriver::drain);
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MS);
        try {
            while (System.nanoTime() - untilNs < 0 && !shards.stream().allMatch(ShardDriver::isSettled)) {
                Thread.sleep(SETTLE_STEP_MS);
            }
            shards.forEach(ShardDriver::drop);
            ownership.release().get(SETTLE_MS, TimeUnit.MILLISECONDS);
            admin.stop().get(SETTLE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(RuntimeEvent.STOP_TIMED_OUT, "limitMs", SETTLE_MS);
            admin.close();
        }
        settings.stop();
        hub.close();
        client.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
