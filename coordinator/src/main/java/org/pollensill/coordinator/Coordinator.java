package org.pollensill.coordinator;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.pollensill.adapter.ClientCodec;
import org.pollensill.adapter.HttpAdviceService;
import org.pollensill.adapter.HttpRowStore;
import org.pollensill.adapter.HttpRunnerService;
import org.pollensill.admission.MemoryAccount;
import org.pollensill.coordinator.peer.PeerServer;
import org.pollensill.coordinator.peer.PeerService;
import org.pollensill.coordinator.peer.wire.ConfigQuery;
import org.pollensill.coordinator.peer.wire.ConfigReply;
import org.pollensill.coordinator.peer.wire.StoreCall;
import org.pollensill.coordinator.peer.wire.StoreReply;
import org.pollensill.job.JobStatus;
import org.pollensill.platform.RowStore;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runner.RunnerService;
import org.pollensill.runtime.admin.MetricsPage;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.ClientLimits;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.HttpLimits;
import org.pollensill.runtime.http.HttpServer;
import org.pollensill.runtime.http.ListenException;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;
import org.pollensill.runtime.net.EventLoops;

/** A coordinator process: wires its components, listens for requests and shuts down gracefully. */
final class Coordinator {

    private static final EventLog LOG = EventLog.of(Coordinator.class);
    private static final int ERROR_EXIT_CODE = 3;

    /** Limits per runner and for the store; the users' runners accept 64 connections from all coordinators. */
    private static final ClientLimits CLIENT_LIMITS = new ClientLimits(12, 2_048, 800, 60_000, 8 << 20);

    /** Limits of client requests; the users' configuration allows bodies of 256 KiB. */
    private static final HttpLimits SERVER_LIMITS = new HttpLimits(256 << 10, 16 << 10, 60_000);

    private final EventLoopGroup group;
    private final CoordinatorLoop loop;
    private final CoordinatorSettings settings;
    private final HttpClient client;
    private final StoreHealth health;
    private final ConfigWatcher configWatcher;
    private final LeaderElector elector;
    private final JobEndpoint endpoint;
    private final Peers peers;
    private final StoreTransport storeTransport;
    private final MemberDirectory members;
    private final String incarnation;
    private Optional<PeerServer> peerServer = Optional.empty();
    private Optional<HttpServer> clientServer = Optional.empty();
    private Optional<HttpServer> readinessServer = Optional.empty();
    private boolean stopping;

    private Coordinator(CoordinatorSettings settings) {
        this.settings = settings;
        this.group = EventLoops.of(1);
        this.loop = new CoordinatorLoop(group.next(), Coordinator::endProcess);
        this.client = HttpClient.of(group, CLIENT_LIMITS);
        this.health = new StoreHealth(loop::nowMs);
        this.incarnation = settings.name() + "-" + UUID.randomUUID();
        this.peers = new Peers(group, settings, this::onLeaderUnavailable);
        this.storeTransport =
                new StoreTransport(loop, client::send, settings.storeAddress(), peers, HttpRowStore.PROBE_URI);
        RowStore store = HttpRowStore.of(storeTransport, settings.storeAddress(), health::timeoutMs);
        RunnerService runners = HttpRunnerService.of(client::send, client::discardIdle);
        CoordinatorMetrics metrics = new CoordinatorMetrics(PrometheusRegistry.defaultRegistry);
        CoordinatorContext context = new CoordinatorContext(
                loop,
                store,
                health,
                runners,
                settings.adviceAddress().map(address -> HttpAdviceService.of(client::send, address)),
                settings,
                metrics);
        this.configWatcher = new ConfigWatcher(
                loop::nowMs,
                loop::schedule,
                new StoreConfigSource(store, health),
                new PeerConfigSource(peers),
                peers::hasConfigReader,
                catalogue -> {
                    metrics.configurationVersion(catalogue.version());
                    applyCatalogue(catalogue);
                });
        this.elector = new LeaderElector(context, incarnation, configWatcher::current, peers::setLeader);
        this.members = new MemberDirectory(loop, store, health, settings, live -> {
            peers.setMembers(live);
            elector.setMembers(live);
        });
        MemoryAccount account = new MemoryAccount();
        IntakeWriter intakeWriter = new IntakeWriter(
                loop::nowMs, loop::schedule, store, health, incarnation, settings.maxRowBytes(), account::stored);
        JobCanceller canceller =
                new JobCanceller(loop::nowMs, loop::schedule, store, health, new JobStateReader(store, health));
        this.endpoint = new JobEndpoint(context, configWatcher, elector, peers, account, intakeWriter, canceller);
    }

    /** Ends the process at once: its shutdown hooks would need the event loop that has failed. */
    private static void endProcess(Error error) {
        System.err.println("pollensill-coordinator: " + error);
        Runtime.getRuntime().halt(ERROR_EXIT_CODE);
    }

    private void applyCatalogue(QueueCatalogue catalogue) {
        elector.setCatalogue(catalogue);
    }

    private void onLeaderUnavailable(String leaderIncarnation, boolean confirmed) {
        elector.onLeaderUnavailable(leaderIncarnation, confirmed);
    }

    /** Serves the calls of peers. */
    private final class LocalPeerService implements PeerService {

        @Override
        public Optional<JobStatus> jobStatus(String jobId) {
            return elector.session().flatMap(session -> session.status(jobId));
        }

        @Override
        public boolean grantMemory(String jobId, long bytes) {
            return elector.session()
                    .map(session -> session.grantMemory(jobId, bytes))
                    .orElse(false);
        }

        @Override
        public boolean storeReachable() {
            return storeTransport.reachable();
        }

        @Override
        public CompletableFuture<ConfigReply> configuration(ConfigQuery query) {
            return configWatcher.query(query.getKnownVersion(), query.getWaitMs());
        }

        @Override
        public CompletableFuture<StoreReply> callStore(StoreCall call) {
            return storeTransport.callForPeer(call);
        }
    }

    /**
     * Starts a coordinator.
     *
     * @param settings the settings
     * @return the running coordinator
     * @throws ListenException if a listener cannot be bound to its address
     */
    static Coordinator start(CoordinatorSettings settings) throws ListenException {
        Coordinator coordinator = new Coordinator(settings);
        coordinator.listen();
        coordinator.loop.execute(() -> {
            coordinator.configWatcher.start();
            coordinator.elector.start();
            coordinator.members.start();
        });
        LOG.log(RuntimeEvent.STARTED, "machine", settings.name(), "zone", settings.zone());
        return coordinator;
    }

    private void listen() throws ListenException {
        readinessServer = Optional.of(HttpServer.listen(
                group, settings.readinessAddress(), SERVER_LIMITS, Optional.empty(), this::answerReadiness));
        peerServer = Optional.of(
                PeerServer.listen(group, settings.peerAddress(), settings.name(), incarnation, new LocalPeerService()));
        clientServer = Optional.of(
                HttpServer.listen(group, settings.clientAddress(), SERVER_LIMITS, Optional.empty(), endpoint));
        settings.metricsAddress().ifPresent(this::serveMetrics);
    }

    /** Serves the metrics. Their port is fixed, so another listener of the machine may have it. */
    private void serveMetrics(InetSocketAddress address) {
        try {
            HttpServer.listen(
                    group,
                    address,
                    HttpLimits.OPERATORS,
                    Optional.empty(),
                    new OperatorPages(settings, elector, new MetricsPage(PrometheusRegistry.defaultRegistry)));
        } catch (ListenException e) {
            LOG.log(CoordinatorEvent.METRICS_NOT_SERVED, "problem", e.getMessage());
        }
    }

    private void answerReadiness(Request request, Responder responder) {
        if (!request.path().equals(ClientCodec.READINESS_PATH)) {
            responder.answer(Answer.of(404));
            return;
        }
        boolean ready = !stopping && configWatcher.current().isPresent() && health.available();
        responder.answer(Answer.of(ready ? 200 : 503));
    }

    /**
     * Shuts down gracefully: releases the leader lease, completes the requests in progress and closes.
     *
     * @param stopped runs when the shutdown is complete
     */
    void stop(Runnable stopped) {
        loop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            LOG.log(RuntimeEvent.STOPPING, "machine", settings.name());
            new ShutdownSequence(loop::schedule, this::releaseLease, this::finishRequests).run(() -> {
                LOG.log(RuntimeEvent.STOPPED, "machine", settings.name());
                stopped.run();
            });
        });
    }

    private void releaseLease(Runnable released) {
        elector.stop(() -> {
            peerServer.get().announceRelease(incarnation);
            released.run();
        });
    }

    private void finishRequests(Runnable finished) {
        clientServer
                .get()
                .stop()
                .thenRun(() -> loop.execute(() -> {
                    configWatcher.stop();
                    members.stop();
                    finished.run();
                }));
    }
}
