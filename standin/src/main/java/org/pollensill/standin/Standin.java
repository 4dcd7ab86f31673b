package org.pollensill.standin;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.pollensill.platform.Host;
import org.pollensill.runtime.net.EventLoops;

/** A running stand-in for the platform, its upstreams and workers, and the admin port, in one process on loopback. */
public final class Standin implements Closeable {

    private static final int EVENT_LOOP_THREADS = 4;
    private static final long TICK_MS = 100;

    private final StandinConfig config;
    private final Clock clock = Clock.system();
    private final EventLoopGroup loops = EventLoops.of(EVENT_LOOP_THREADS);
    private final HostDirectory directory;
    private final StoreFaults storeFaults = new StoreFaults();
    private final RequestLedger requests = new RequestLedger();
    private final TaskLedger tasks = new TaskLedger();
    private final PlatformFrontend platform;
    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final Map<String, StandinWorker> workers = new LinkedHashMap<>();
    private final Map<String, HttpListener> listeners = new LinkedHashMap<>();
    private int nextPort;

    private Standin(StandinConfig config) {
        this.config = Objects.requireNonNull(config, "config is null");
        this.directory = new HostDirectory(config.hostListLagMs());
        this.platform = new PlatformFrontend(config.store(), directory, storeFaults, clock);
        this.nextPort = config.basePort();
    }

    /**
     * Starts a stand-in.
     *
     * @param config the configuration
     * @return the stand-in, with all ports open
     * @throws IOException if a port cannot be opened
     */
    public static Standin start(StandinConfig config) throws IOException {
        Standin standin = new Standin(config);
        try {
            standin.open();
        } catch (IOException e) {
            standin.close();
            throw e;
        }
        return standin;
    }

    private void open() throws IOException {
        listen("admin", new AdminFrontend(this));
        listen("platform", platform);
        for (StandinConfig.Zone zone : config.zones()) {
            for (Map.Entry<String, Integer> service : new TreeMap<>(zone.upstreams()).entrySet()) {
                for (int i = 0; i < service.getValue(); i++) {
                    openUpstream(zone, service.getKey(), i);
                }
            }
            for (int i = 0; i < zone.workers(); i++) {
                openWorker(zone, i);
            }
        }
        config.hosts().forEach(host -> directory.put(host.toHost(), 0));
        directory.publishNow();
        loops.scheduleAtFixedRate(
                () -> workers.values().forEach(StandinWorker::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void openUpstream(StandinConfig.Zone zone, String service, int index) throws IOException {
        String name = zone.zone() + "-" + service + "-" + index;
        Upstream upstream = new Upstream(name, config, requests, clock);
        upstreams.put(name, upstream);
        listen(name, upstream);
        directory.put(
                new Host(
                        name,
                        address(name),
                        Host.Role.UPSTREAM,
                        service,
                        zone.region(),
                        zone.zone(),
                        rack(zone, index),
                        Host.State.LIVE,
                        0,
                        0,
                        0,
                        Upstream.SLOTS,
                        Upstream.CONNECTIONS),
                0);
    }

    private void openWorker(StandinConfig.Zone zone, int index) throws IOException {
        String name = zone.zone() + "-worker-" + index;
        HttpListener.Handler forward = exchange -> workers.get(name).handle(exchange);
        listen(name, forward);
        Host host = new Host(
                name,
                address(name),
                Host.Role.WORKER,
                "",
                zone.region(),
                zone.zone(),
                rack(zone, index),
                Host.State.LIVE,
                zone.workerProcessorsMillicores(),
                zone.workerMemoryBytes(),
                zone.workerAccelerators(),
                0,
                0);
        workers.put(name, new StandinWorker(host, tasks, clock, config.usageLagMs(), config.seed() + name.hashCode()));
        directory.put(host, 0);
    }

    private static String rack(StandinConfig.Zone zone, int index) {
        return zone.zone() + "-rack-" + index / zone.hostsPerRack();
    }

    private void listen(String name, HttpListener.Handler handler) throws IOException {
        listeners.put(name, HttpListener.open(loops, nextPort == 0 ? 0 : nextPort++, handler));
    }

    /**
     * Returns the address of a port.
     *
     * @param name {@code admin}, {@code platform} or the name of an upstream or worker
     * @return IP address and port
     */
    public String address(String name) {
        return listeners.get(name).address();
    }

    /**
     * Returns all addresses.
     *
     * @return addresses by name
     */
    public Map<String, Object> ports() {
        Map<String, String> upstreamPorts = new LinkedHashMap<>();
        upstreams.keySet().forEach(name -> upstreamPorts.put(name, address(name)));
        Map<String, String> workerPorts = new LinkedHashMap<>();
        workers.keySet().forEach(name -> workerPorts.put(name, address(name)));
        Map<String, Object> ports = new LinkedHashMap<>();
        ports.put("admin", address("admin"));
        ports.put("platform", address("platform"));
        ports.put("upstreams", upstreamPorts);
        ports.put("workers", workerPorts);
        return ports;
    }

    /**
     * Returns all counters.
     *
     * @return counters by name
     */
    public Map<String, Object> counters() {
        Map<String, Object> counters = new TreeMap<>(requests.snapshot());
        counters.putAll(platform.counters());
        counters.putAll(tasks.snapshot());
        Map<String, Object> states = new TreeMap<>();
        upstreams.forEach((name, upstream) -> states.put(name, upstream.status()));
        counters.put("upstreams", states);
        return counters;
    }

    Clock clock() {
        return clock;
    }

    HostDirectory directory() {
        return directory;
    }

    StoreFaults storeFaults() {
        return storeFaults;
    }

    RequestLedger requests() {
        return requests;
    }

    TaskLedger tasks() {
        return tasks;
    }

    Map<String, Upstream> upstreams() {
        return upstreams;
    }

    Map<String, StandinWorker> workers() {
        return workers;
    }

    /** Closes the port of an upstream or worker, so that connections to it are refused. */
    synchronized void closePort(String name) {
        listeners.get(name).close();
    }

    /** Opens a closed port again at the same port number. */
    synchronized void reopenPort(String name) throws IOException {
        HttpListener previous = listeners.get(name);
        if (previous.isOpen()) {
            return;
        }
        HttpListener.Handler handler = previous.handler();
        listeners.put(name, HttpListener.open(loops, previous.port(), handler));
    }

    @Override
    public void close() {
        List<HttpListener> open = new ArrayList<>(listeners.values());
        open.forEach(HttpListener::close);
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }
}
