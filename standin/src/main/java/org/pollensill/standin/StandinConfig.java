package org.pollensill.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.pollensill.platform.Host;

/**
 * Configuration of the stand-in, read from JSON with comments.
 *
 * @param basePort first of the consecutive ports, 0 for free ports
 * @param seed seed of all distributions
 * @param hostListLagMs lag of the host list, in milliseconds
 * @param usageLagMs lag of the usage that workers report, in milliseconds
 * @param store limits of the table service and object store
 * @param zones availability zones with their upstreams and workers
 * @param kinds behaviour of the upstreams by kind of request; {@code *} applies to all kinds not listed
 * @param hosts entry hosts and schedulers in the host list
 */
public record StandinConfig(
        int basePort,
        long seed,
        long hostListLagMs,
        long usageLagMs,
        Store store,
        List<Zone> zones,
        Map<String, Kind> kinds,
        List<ListedHost> hosts) {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.ALLOW_COMMENTS)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();

    /**
     * Limits of the table service and object store.
     *
     * @param latencyMs latency of a call without faults
     * @param readsPerSecond maximum reads per second; excess calls are delayed
     * @param writesPerSecond maximum writes per second; excess calls are delayed
     */
    public record Store(long latencyMs, int readsPerSecond, int writesPerSecond) {

        /** Creates limits; a rate of 0 selects the documented rate of the platform. */
        public Store {
            readsPerSecond = readsPerSecond == 0 ? 2000 : readsPerSecond;
            writesPerSecond = writesPerSecond == 0 ? 400 : writesPerSecond;
        }
    }

    /**
     * An availability zone.
     *
     * @param region the region
     * @param zone the zone
     * @param upstreams number of upstreams by service
     * @param workers number of workers
     * @param hostsPerRack upstreams or workers per rack
     * @param workerProcessorsMillicores processor capacity of a worker
     * @param workerMemoryBytes memory of a worker
     * @param workerAccelerators accelerators of a worker
     */
    public record Zone(
            String region,
            String zone,
            Map<String, Integer> upstreams,
            int workers,
            int hostsPerRack,
            int workerProcessorsMillicores,
            long workerMemoryBytes,
            int workerAccelerators) {

        /**
         * Creates a zone.
         *
         * @throws NullPointerException if region or zone is null
         */
        public Zone {
            Objects.requireNonNull(region, "region is null");
            Objects.requireNonNull(zone, "zone is null");
            upstreams = upstreams == null ? Map.of() : Map.copyOf(upstreams);
            hostsPerRack = hostsPerRack == 0 ? 8 : hostsPerRack;
            workerProcessorsMillicores = workerProcessorsMillicores == 0 ? 16_000 : workerProcessorsMillicores;
            workerMemoryBytes = workerMemoryBytes == 0 ? 62L << 30 : workerMemoryBytes;
        }
    }

    /**
     * Behaviour of the upstreams for one kind of request.
     *
     * @param distribution {@code constant}, {@code uniform}, {@code exponential} or {@code lognormal}
     * @param meanMs mean service time
     * @param sigma shape of the lognormal distribution
     * @param boundMs maximum service time of a request
     * @param idempotent whether a request may run more than once
     * @param answerBytes size of the padding in the answer
     */
    public record Kind(
            String distribution, double meanMs, double sigma, long boundMs, boolean idempotent, int answerBytes) {

        /** Creates the behaviour; the defaults are a constant 10 ms and a bound of 10 times the mean. */
        public Kind {
            distribution = distribution == null ? "constant" : distribution;
            meanMs = meanMs == 0 ? 10 : meanMs;
            sigma = sigma == 0 ? 0.5 : sigma;
            boundMs = boundMs == 0 ? Math.max(1, Math.round(10 * meanMs)) : boundMs;
            if (meanMs < 0 || sigma < 0 || boundMs < 1 || answerBytes < 0) {
                throw new IllegalArgumentException("meanMs, sigma, boundMs or answerBytes is out of range");
            }
        }
    }

    /**
     * An entry host or scheduler in the host list.
     *
     * @param name the host's name
     * @param address the address of its peer port
     * @param role role of the host
     * @param region the region
     * @param zone the zone
     */
    public record ListedHost(String name, String address, Host.Role role, String region, String zone) {

        /**
         * Creates an entry.
         *
         * @throws NullPointerException if an argument is null
         */
        public ListedHost {
            Objects.requireNonNull(name, "name is null");
            Objects.requireNonNull(address, "address is null");
            Objects.requireNonNull(role, "role is null");
            Objects.requireNonNull(region, "region is null");
            Objects.requireNonNull(zone, "zone is null");
        }

        Host toHost() {
            return new Host(name, address, role, "", region, zone, "", Host.State.LIVE, 0, 0, 0, 0, 0);
        }
    }

    /** Creates a configuration; omitted parts are empty, an omitted store has 1 ms latency. */
    public StandinConfig {
        store = store == null ? new Store(1, 0, 0) : store;
        zones = zones == null ? List.of() : List.copyOf(zones);
        kinds = kinds == null ? Map.of() : Map.copyOf(kinds);
        hosts = hosts == null ? List.of() : List.copyOf(hosts);
        if (basePort < 0 || basePort > 65_000 || hostListLagMs < 0 || usageLagMs < 0) {
            throw new IllegalArgumentException("basePort, hostListLagMs or usageLagMs is out of range");
        }
        kinds.forEach((name, kind) -> ServiceTime.of(kind, 0));
    }

    /**
     * Reads a configuration.
     *
     * @param file the file
     * @return the configuration
     * @throws IOException if the file cannot be read or is not valid
     */
    public static StandinConfig read(Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), StandinConfig.class);
    }

    Kind kind(String name) {
        Kind kind = kinds.get(name);
        if (kind != null) {
            return kind;
        }
        return kinds.getOrDefault("*", new Kind(null, 0, 0, 0, false, 0));
    }
}
