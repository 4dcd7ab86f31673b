package org.pollensill.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Configuration of a load run, read from JSON with comments.
 *
 * @param seed seed of all arrivals and callers
 * @param entries addresses that serve the requests, used in round-robin order
 * @param healthAddresses admin addresses of the entries in the same order, whose readiness decides whether an entry
 *     gets requests; empty to use all entries always
 * @param standinAdmin admin address of the stand-in that verifies requests reported as not run, empty for none
 * @param lanes event loops that generate the load
 * @param connectionsPerEntry maximum number of connections to one address
 * @param maxRequests maximum number of requests in the run
 * @param graceMs time after the deadline at which an unanswered request times out
 * @param kinds kinds of requests
 * @param phases consecutive phases
 */
public record LoadConfig(
        long seed,
        List<String> entries,
        List<String> healthAddresses,
        String standinAdmin,
        int lanes,
        int connectionsPerEntry,
        long maxRequests,
        long graceMs,
        List<Kind> kinds,
        List<Phase> phases) {

    /** Maximum duration of a run, so that a configuration error cannot load the machine for hours. */
    static final long MAX_DURATION_MS = 15 * 60_000;

    private static final long DEFAULT_MAX_REQUESTS = 2_000_000;
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonParser.Feature.ALLOW_COMMENTS).build();

    /**
     * A kind of request.
     *
     * @param name the kind's name
     * @param service the service of the kind
     * @param callers number of distinct callers
     * @param deadlineMs relative deadline of a request
     * @param idempotent whether a request may run more than once
     * @param keyed whether requests carry an idempotency key
     * @param repeats maximum retries, with the same key, of a keyed request whose outcome is unknown
     * @param bodyBytes size of the request body
     * @param arrivals {@code poisson} or {@code uniform}
     */
    public record Kind(
            String name,
            String service,
            int callers,
            long deadlineMs,
            boolean idempotent,
            boolean keyed,
            int repeats,
            int bodyBytes,
            String arrivals) {

        /**
         * Creates a kind; the defaults are 4 callers, a deadline of 1 s and Poisson arrivals.
         *
         * @throws NullPointerException if name or service is null
         * @throws IllegalArgumentException if a value is out of range
         */
        public Kind {
            Objects.requireNonNull(name, "name is null");
            Objects.requireNonNull(service, "service is null");
            callers = callers == 0 ? 4 : callers;
            deadlineMs = deadlineMs == 0 ? 1000 : deadlineMs;
            arrivals = arrivals == null ? "poisson" : arrivals;
            if (callers < 0 || deadlineMs < 0 || repeats < 0 || bodyBytes < 0) {
                throw new IllegalArgumentException("callers, deadlineMs, repeats or bodyBytes is out of range");
            }
            if (!Set.of("poisson", "uniform").contains(arrivals)) {
                throw new IllegalArgumentException("unknown arrivals " + arrivals);
            }
        }
    }

    /**
     * A phase with constant rates.
     *
     * @param name the phase's name
     * @param durationMs duration of the phase
     * @param ratesPerSecond requests per second by kind; omitted kinds send no requests
     */
    public record Phase(String name, long durationMs, Map<String, Double> ratesPerSecond) {

        /**
         * Creates a phase.
         *
         * @throws NullPointerException if {@code name} is null
         * @throws IllegalArgumentException if a value is out of range
         */
        public Phase {
            Objects.requireNonNull(name, "name is null");
            ratesPerSecond = ratesPerSecond == null ? Map.of() : Map.copyOf(ratesPerSecond);
            if (durationMs < 1 || ratesPerSecond.values().stream().anyMatch(rate -> rate < 0)) {
                throw new IllegalArgumentException("durationMs or a rate of phase " + name + " is out of range");
            }
        }
    }

    /**
     * Creates a configuration; the defaults include 2 lanes and 512 connections per entry.
     *
     * @throws IllegalArgumentException if it has no address, refers to an unknown kind or exceeds the maximum duration
     */
    public LoadConfig {
        entries = entries == null ? List.of() : List.copyOf(entries);
        healthAddresses = healthAddresses == null ? List.of() : List.copyOf(healthAddresses);
        standinAdmin = standinAdmin == null ? "" : standinAdmin;
        lanes = lanes == 0 ? 2 : lanes;
        connectionsPerEntry = connectionsPerEntry == 0 ? 512 : connectionsPerEntry;
        maxRequests = maxRequests == 0 ? DEFAULT_MAX_REQUESTS : maxRequests;
        graceMs = graceMs == 0 ? 500 : graceMs;
        kinds = kinds == null ? List.of() : List.copyOf(kinds);
        phases = phases == null ? List.of() : List.copyOf(phases);
        if (entries.isEmpty() || kinds.isEmpty() || phases.isEmpty()) {
            throw new IllegalArgumentException("entries, kinds or phases is empty");
        }
        if (!healthAddresses.isEmpty() && healthAddresses.size() != entries.size()) {
            throw new IllegalArgumentException("healthAddresses and entries differ in number");
        }
        if (lanes < 1 || lanes > 8 || connectionsPerEntry < lanes || maxRequests < 1 || graceMs < 0) {
            throw new IllegalArgumentException("lanes, connectionsPerEntry, maxRequests or graceMs is out of range");
        }
        Set<String> names = new HashSet<>();
        kinds.forEach(kind -> names.add(kind.name()));
        for (Phase phase : phases) {
            if (!names.containsAll(phase.ratesPerSecond().keySet())) {
                throw new IllegalArgumentException("phase " + phase.name() + " names an unknown kind");
            }
        }
        if (phases.stream().mapToLong(Phase::durationMs).sum() > MAX_DURATION_MS) {
            throw new IllegalArgumentException("phases are longer than " + MAX_DURATION_MS + " ms");
        }
    }

    /**
     * Reads a configuration.
     *
     * @param file the file
     * @return the configuration
     * @throws IOException if the file cannot be read or is not valid
     */
    public static LoadConfig read(Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), LoadConfig.class);
    }
}
