package org.pollensill.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All settings with type, unit, built-in default, levels and effect, and the schema of the tree. */
public final class SettingsCatalogue {

    static final String SERVICES = "services.<service>";
    static final String KINDS = "kinds.<kind>";
    static final String TEAMS = "teams.<team>";
    static final String LINKS = "links.<region>.<region>";
    static final String SHIFTS = "shifts.<shift>";

    /** Max deadline, bound and interval that the tree accepts: one day. */
    private static final long DAY_MS = 86_400_000L;

    private static final String ANY_LEVEL = "defaults, region, zone";
    private static final String ANY_LEVEL_OR_SHIFT = "defaults, region, zone, shift";
    private static final String DEFAULTS_LEVEL = "defaults";

    private static final ValueType MILLIS = ValueType.integer(1, DAY_MS);
    private static final ValueType PERCENT = ValueType.integer(0, 100);

    private static final List<Setting> ALL = List.of(
            level("timeZone", ValueType.timeZone(), "-", "UTC", "Time zone in which shifts are given."),
            service("deadlineMs", MILLIS, "ms", "1000", "Time to answer where neither caller nor kind states one."),
            service("retryBudgetPercent", PERCENT, "%", "10", "Retries and hedges allowed per hundred successes."),
            service("hedgeFreeSlotsPercent", PERCENT, "%", "25", "Free slots that a hedge requires."),
            service("maxBodyBytes", ValueType.integer(0, 1 << 30), "byte", "1048576", "Largest request body."),
            kind("urgency", ValueType.integer(0, 100), "-", "1", "Order in which free slots are given; 0 comes first."),
            kind("guaranteedShare", ValueType.share(), "share", "0", "Slots that no other kind can take."),
            kind("cap", ValueType.share(), "share", "1", "Largest share of an owner's slots."),
            kind(
                    "queueLimit",
                    ValueType.integer(0, 1_000_000),
                    "requests",
                    "1000",
                    "Most requests waiting at one owner."),
            kind("executionBoundMs", MILLIS, "ms", "10000", "Longest time an upstream works on a request."),
            kind("slotsPerUpstreamCap", ValueType.integer(1, 1024), "slots", "8", "Most slots of one upstream."),
            kind("idempotent", ValueType.bool(), "-", "false", "Whether a request may run more than once."),
            kind(
                    "deadlineMs",
                    MILLIS,
                    "ms",
                    "deadlineMs of the service",
                    "Time to answer where the caller states none."),
            kind("objective", ValueType.objective(), "share", "0.99", "Requests to be answered within latencyBoundMs."),
            kind("latencyBoundMs", MILLIS, "ms", "deadlineMs of the kind", "Latency that the objective speaks of."),
            kind("windowDays", ValueType.integer(1, 366), "days", "28", "Window of the objective."),
            entry("drainMs", ValueType.integer(0, DAY_MS), "ms", "10000", "Bound of a graceful shutdown."),
            entry(
                    "claimCommitsPerSecond",
                    ValueType.integer(1, 1000),
                    "1/s",
                    "20",
                    "Group commits of claims per host."),
            entry(
                    "answerStoreBytes",
                    ValueType.integer(0, 1 << 24),
                    "byte",
                    "65536",
                    "Largest answer stored for a key."),
            entry("ejectedUpstreamsPercent", PERCENT, "%", "20", "Most upstreams of an owner ejected at once."),
            entry("probeIntervalMs", MILLIS, "ms", "1000", "Time between probes of an ejected upstream."),
            batch("shareOfWorkerPercent", PERCENT, "%", "80", "Part of a worker that batch work may take."),
            batch(
                    "headroomLeadMs",
                    ValueType.integer(0, DAY_MS),
                    "ms",
                    "120000",
                    "Headroom is kept this long before a shift."),
            batch("evictionsPerMinute", ValueType.integer(0, 100_000), "1/min", "60", "Most evictions per shard."),
            batch(
                    "throttlePercent",
                    ValueType.integer(1, 1000),
                    "%",
                    "90",
                    "Batch is throttled at this part of a bound."),
            batch(
                    "releasePercent",
                    ValueType.integer(0, 1000),
                    "%",
                    "70",
                    "Throttling ends below this part of a bound."),
            batch("leaseMs", MILLIS, "ms", "30000", "Length of a worker lease."),
            batch("renewIntervalMs", MILLIS, "ms", "5000", "Time between renewals of a lease."),
            batch("candidates", ValueType.integer(1, 1000), "workers", "8", "Workers sampled for each placement."),
            team("processorsMillicores", "millicores", "0", "Quota of processors."),
            team("memoryBytes", "byte", "0", "Quota of memory."),
            team("accelerators", "accelerators", "0", "Quota of accelerators."),
            new Setting(
                    TEAMS, "weight", ValueType.integer(1, 1_000_000), "-", "1", ANY_LEVEL, "Weight in fair sharing."),
            link("oneWayMs", ValueType.integer(0, 60_000), "ms", "8", "Delay in one direction."),
            link("bytesPerSecond", ValueType.integer(1, 1L << 40), "byte/s", "2500000", "Rate of the link each way."),
            link("controlPercent", ValueType.integer(0, 90), "%", "10", "Part reserved for control traffic."),
            shift("days", ValueType.days(), "-", "every day", "Days on which the shift begins."),
            shift("from", ValueType.localTime(), "local time", "required", "Begin in the zone's time zone."),
            shift("to", ValueType.localTime(), "local time", "required", "End; at or before from: on the next day."));

    private static final Schema.Fields SCHEMA = createSchema();

    private SettingsCatalogue() {}

    /**
     * Returns all settings.
     *
     * @return the settings in the order of the documentation
     */
    public static List<Setting> all() {
        return ALL;
    }

    /** Returns the schema of the whole tree. */
    static Schema schema() {
        return SCHEMA;
    }

    private static Schema.Fields createSchema() {
        Map<String, Schema> service = values(SERVICES);
        service.put("kinds", new Schema.Named(new Schema.Fields(values(KINDS))));
        Schema services = new Schema.Named(new Schema.Fields(service));
        Schema batch = new Schema.Fields(values("batch"));

        Map<String, Schema> shift = values(SHIFTS);
        shift.put("batch", batch);
        shift.put("services", services);

        Map<String, Schema> zone = values("");
        zone.put("services", services);
        zone.put("entry", new Schema.Fields(values("entry")));
        zone.put("batch", batch);
        zone.put("teams", new Schema.Named(new Schema.Fields(values(TEAMS))));
        zone.put("shifts", new Schema.Named(new Schema.Fields(shift)));

        Map<String, Schema> region = new LinkedHashMap<>(zone);
        region.put("zones", new Schema.Named(new Schema.Fields(zone)));
        Map<String, Schema> defaults = new LinkedHashMap<>(zone);
        defaults.put("links", new Schema.Named(new Schema.Named(new Schema.Fields(values(LINKS)))));
        return new Schema.Fields(Map.of(
                "defaults", new Schema.Fields(defaults), "regions", new Schema.Named(new Schema.Fields(region))));
    }

    private static Map<String, Schema> values(String group) {
        Map<String, Schema> values = new LinkedHashMap<>();
        for (Setting setting : new ArrayList<>(ALL)) {
            if (setting.group().equals(group)) {
                values.put(setting.name(), new Schema.Value(setting));
            }
        }
        return values;
    }

    private static Setting level(String name, ValueType type, String unit, String value, String effect) {
        return new Setting("", name, type, unit, value, ANY_LEVEL, effect);
    }

    private static Setting service(String name, ValueType type, String unit, String value, String effect) {
        return new Setting(SERVICES, name, type, unit, value, ANY_LEVEL_OR_SHIFT, effect);
    }

    private static Setting kind(String name, ValueType type, String unit, String value, String effect) {
        return new Setting(KINDS, name, type, unit, value, ANY_LEVEL_OR_SHIFT, effect);
    }

    private static Setting entry(String name, ValueType type, String unit, String value, String effect) {
        return new Setting("entry", name, type, unit, value, ANY_LEVEL, effect);
    }

    private static Setting batch(String name, ValueType type, String unit, String value, String effect) {
        return new Setting("batch", name, type, unit, value, ANY_LEVEL_OR_SHIFT, effect);
    }

    private static Setting team(String name, String unit, String value, String effect) {
        return new Setting(TEAMS, name, ValueType.integer(0, Long.MAX_VALUE), unit, value, ANY_LEVEL, effect);
    }

    private static Setting link(String name, ValueType type, String unit, String value, String effect) {
        return new Setting(LINKS, name, type, unit, value, DEFAULTS_LEVEL, effect);
    }

    private static Setting shift(String name, ValueType type, String unit, String value, String effect) {
        return new Setting(SHIFTS, name, type, unit, value, ANY_LEVEL, effect);
    }
}
