package org.pollensill.settings;

import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.pollensill.contract.KindContract;
import org.pollensill.contract.ServiceContract;

/**
 * The effective values at one place and time, as typed records. Contracts are built on first use, so that a tree with
 * thousands of services costs nothing for services that a process does not serve.
 */
public final class Effective {

    private static final long DEFAULT_DEADLINE_MS = 1_000;

    private final Place place;
    private final Layers layers;
    private final Set<String> activeShifts;
    private final long validUntilMs;
    private final Map<String, Optional<ServiceContract>> contracts = new ConcurrentHashMap<>();

    Effective(Place place, Layers layers, Set<String> activeShifts, long validUntilMs) {
        this.place = Objects.requireNonNull(place, "place is null");
        this.layers = Objects.requireNonNull(layers, "layers is null");
        this.activeShifts = Set.copyOf(activeShifts);
        this.validUntilMs = validUntilMs;
    }

    /**
     * Returns the place.
     *
     * @return the place of these values
     */
    public Place place() {
        return place;
    }

    /**
     * Returns the active shifts.
     *
     * @return their names
     */
    public Set<String> activeShifts() {
        return activeShifts;
    }

    /**
     * Returns when a shift next begins or ends.
     *
     * @return the wall-clock time at which these values expire, {@link Long#MAX_VALUE} without shifts
     */
    public long validUntilMs() {
        return validUntilMs;
    }

    /**
     * Returns the time zone of the place.
     *
     * @return the time zone
     */
    public ZoneId timeZone() {
        return layers.timeZone();
    }

    /**
     * Returns the services that are configured at this place.
     *
     * @return their names
     */
    public Set<String> services() {
        return layers.names("services");
    }

    /**
     * Returns the contract of a service.
     *
     * @param service the service's name
     * @return the contract, empty if the service is not configured
     */
    public Optional<ServiceContract> service(String service) {
        Objects.requireNonNull(service, "service is null");
        Optional<ServiceContract> cached = contracts.get(service);
        if (cached != null) {
            return cached;
        }
        if (layers.layers().stream()
                .noneMatch(layer -> layer.branch()
                        .at(new SettingsPath(List.of("services", service)))
                        .isPresent())) {
            // Unknown names come from requests and are not cached, or callers could exhaust the memory.
            return Optional.empty();
        }
        return contracts.computeIfAbsent(service, this::contract);
    }

    private Optional<ServiceContract> contract(String service) {
        Map<String, KindContract> kinds = new HashMap<>();
        for (String kind : layers.names("services", service, "kinds")) {
            kinds.put(kind, kindContract(service, kind));
        }
        return Optional.of(new ServiceContract(
                service,
                number(DEFAULT_DEADLINE_MS, "services", service, "deadlineMs"),
                (int) number(10, "services", service, "retryBudgetPercent"),
                (int) number(25, "services", service, "hedgeFreeSlotsPercent"),
                (int) number(1 << 20, "services", service, "maxBodyBytes"),
                kinds));
    }

    private KindContract kindContract(String service, String kind) {
        DependentValues dependent = dependentValues(service, kind);
        return new KindContract(
                kind,
                (int) number(1, "services", service, "kinds", kind, "urgency"),
                dependent.guaranteedShare(),
                dependent.cap(),
                (int) number(1_000, "services", service, "kinds", kind, "queueLimit"),
                number(10_000, "services", service, "kinds", kind, "executionBoundMs"),
                (int) number(8, "services", service, "kinds", kind, "slotsPerUpstreamCap"),
                idempotent(service, kind).orElse(false),
                dependent.deadlineMs(),
                share(0.99, "services", service, "kinds", kind, "objective"),
                dependent.latencyBoundMs(),
                (int) number(28, "services", service, "kinds", kind, "windowDays"));
    }

    /**
     * Values of a kind that constrain each other.
     *
     * @param guaranteedShare guaranteed share
     * @param cap max share
     * @param deadlineMs default deadline of a request
     * @param latencyBoundMs latency bound of the objective
     */
    record DependentValues(double guaranteedShare, double cap, long deadlineMs, long latencyBoundMs) {}

    DependentValues dependentValues(String service, String kind) {
        long serviceDeadlineMs = number(DEFAULT_DEADLINE_MS, "services", service, "deadlineMs");
        long deadlineMs = number(serviceDeadlineMs, "services", service, "kinds", kind, "deadlineMs");
        return new DependentValues(
                share(0, "services", service, "kinds", kind, "guaranteedShare"),
                share(1, "services", service, "kinds", kind, "cap"),
                deadlineMs,
                number(deadlineMs, "services", service, "kinds", kind, "latencyBoundMs"));
    }

    /**
     * Returns whether requests of a kind are configured as idempotent.
     *
     * @param service the service's name
     * @param kind the kind's name
     * @return the configured value, empty if the request's method decides
     */
    public Optional<Boolean> idempotent(String service, String kind) {
        return layers.find("services", service, "kinds", kind, "idempotent").map(found -> (Boolean) found.value());
    }

    /**
     * Returns the values of the entry daemon.
     *
     * @return the values
     */
    public EntryValues entry() {
        return new EntryValues(
                number(10_000, "entry", "drainMs"),
                (int) number(20, "entry", "claimCommitsPerSecond"),
                (int) number(64 << 10, "entry", "answerStoreBytes"),
                (int) number(20, "entry", "ejectedUpstreamsPercent"),
                number(1_000, "entry", "probeIntervalMs"));
    }

    /**
     * Returns the values of the batch daemon.
     *
     * @return the values
     */
    public BatchValues batch() {
        return new BatchValues(
                (int) number(80, "batch", "shareOfWorkerPercent"),
                number(120_000, "batch", "headroomLeadMs"),
                (int) number(60, "batch", "evictionsPerMinute"),
                (int) number(90, "batch", "throttlePercent"),
                (int) number(70, "batch", "releasePercent"),
                number(30_000, "batch", "leaseMs"),
                number(5_000, "batch", "renewIntervalMs"),
                (int) number(8, "batch", "candidates"));
    }

    /**
     * Returns the teams that are configured at this place.
     *
     * @return their names
     */
    public Set<String> teams() {
        return layers.names("teams");
    }

    /**
     * Returns the quota of a team.
     *
     * @param team the team's name
     * @return the quota, empty if the team is not configured
     */
    public Optional<TeamValues> team(String team) {
        Objects.requireNonNull(team, "team is null");
        boolean defined = layers.layers().stream()
                .anyMatch(layer -> layer.branch()
                        .at(new SettingsPath(List.of("teams", team)))
                        .isPresent());
        if (!defined) {
            return Optional.empty();
        }
        return Optional.of(new TeamValues(
                team,
                number(0, "teams", team, "processorsMillicores"),
                number(0, "teams", team, "memoryBytes"),
                number(0, "teams", team, "accelerators"),
                (int) number(1, "teams", team, "weight")));
    }

    /**
     * Returns the link from one region to another. A value set for one direction also applies to the other, unless
     * the other has its own.
     *
     * @param from the sending region
     * @param to the receiving region
     * @return the link
     */
    public LinkValues link(String from, String to) {
        Objects.requireNonNull(from, "from is null");
        Objects.requireNonNull(to, "to is null");
        return new LinkValues(
                linkNumber(8, from, to, "oneWayMs"), linkNumber(2_500_000, from, to, "bytesPerSecond"), (int)
                        linkNumber(10, from, to, "controlPercent"));
    }

    private long linkNumber(long builtIn, String from, String to, String name) {
        return number(number(builtIn, "links", to, from, name), "links", from, to, name);
    }

    /**
     * Returns the level that set a value.
     *
     * @param path the path below a level, such as {@code batch.leaseMs}
     * @return path of the level or shift, {@code built-in} if the value is not set anywhere
     */
    public String origin(SettingsPath path) {
        Objects.requireNonNull(path, "path is null");
        return layers.find(path.segments().toArray(new String[0]))
                .map(found -> found.layer().path())
                .orElse(EffectiveValue.BUILT_IN);
    }

    /**
     * Lists every effective value with the level that set it.
     *
     * @return the values by path
     */
    public List<EffectiveValue> values() {
        List<EffectiveValue> values = new ArrayList<>();
        add(values, "", "timeZone", timeZone().getId());
        EffectiveListing.addAll(this, layers, values, this::add);
        return values;
    }

    private void add(List<EffectiveValue> values, String prefix, String name, Object value) {
        String path = prefix.isEmpty() ? name : prefix + "." + name;
        String origin = origin(new SettingsPath(List.of(path.split("\\."))));
        try {
            values.add(new EffectiveValue(path, SettingsJson.MAPPER.writeValueAsString(value), origin));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value of " + path + " cannot be written as JSON", e);
        }
    }

    private long number(long builtIn, String... path) {
        return layers.find(path).map(found -> (Long) found.value()).orElse(builtIn);
    }

    private double share(double builtIn, String... path) {
        return layers.find(path).map(found -> (Double) found.value()).orElse(builtIn);
    }
}
