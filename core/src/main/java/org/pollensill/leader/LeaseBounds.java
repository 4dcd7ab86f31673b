package org.pollensill.leader;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonGenerator;
import org.pollensill.json.JsonObject;

/**
 * For how long runners may still hold leases. A leader stores the bounds with each commit, and they hold until its next
 * one, so that a successor does not count them from its own takeover. All times count from the commit.
 *
 * @param formerMs time until the leases that were granted before the commit, by any leader, have expired on the runners
 *     that are not named; 0 where that is no longer than the next bound
 * @param ownMs time until the leases of this leader have expired on these runners; 0 before it grants any
 * @param runners bounds of the leases of single runners, whoever has granted them
 */
public record LeaseBounds(long formerMs, long ownMs, Map<String, RunnerBound> runners) {

    /** Says that no lease is held. */
    public static final LeaseBounds NONE = new LeaseBounds(0, 0, Map.of());

    /**
     * The bound of the leases of a runner.
     *
     * @param incarnationStartMs the latest incarnation whose leases it covers, as Unix time in milliseconds
     * @param remainingMs time until they have expired
     */
    public record RunnerBound(long incarnationStartMs, long remainingMs) {}

    /**
     * Creates bounds.
     *
     * @throws NullPointerException if {@code runners} is null
     */
    public LeaseBounds {
        runners = Map.copyOf(Objects.requireNonNull(runners, "runners is null"));
    }

    void write(JsonGenerator json) throws IOException {
        json.writeNumberField("formerMs", formerMs);
        json.writeNumberField("ownMs", ownMs);
        json.writeObjectFieldStart("runners");
        for (Map.Entry<String, RunnerBound> runner : runners.entrySet()) {
            json.writeObjectFieldStart(runner.getKey());
            json.writeNumberField("start", runner.getValue().incarnationStartMs());
            json.writeNumberField("ms", runner.getValue().remainingMs());
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    static LeaseBounds read(JsonObject stored) {
        Map<String, RunnerBound> runners = new LinkedHashMap<>();
        JsonObject storedRunners = stored.object("runners").orElse(new JsonObject(Map.of()));
        for (String id : storedRunners.members().keySet()) {
            storedRunners
                    .object(id)
                    .ifPresent(bound -> runners.put(
                            id,
                            new RunnerBound(
                                    bound.integer("start").orElse(0L),
                                    bound.integer("ms").orElse(Long.MAX_VALUE / 4))));
        }
        return new LeaseBounds(
                stored.integer("formerMs").orElse(0L), stored.integer("ownMs").orElse(0L), runners);
    }
}
