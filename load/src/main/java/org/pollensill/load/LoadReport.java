package org.pollensill.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Result of a load run, as JSON and as text. */
public final class LoadReport {

    private static final JsonMapper JSON = new JsonMapper();
    private static final List<String> COLUMNS = List.of(
            "sent",
            "usefulPerSecond",
            "completed",
            "completedLate",
            "notRun",
            "unknown",
            "noAnswer",
            "notSent",
            "wrongAnswer",
            "p50Ms",
            "p95Ms",
            "p99Ms",
            "p999Ms",
            "maxMs",
            "notRunP99Ms");

    private final JsonNode json;

    LoadReport(LaneResult result, long wrongNotRun) {
        Map<String, Object> map =
                Objects.requireNonNull(result, "result is null").toMap();
        map.put("wrongNotRun", wrongNotRun);
        this.json = JSON.valueToTree(map);
    }

    /**
     * Returns the report as JSON.
     *
     * @return {@code phases} with the figures per kind, {@code sentByBucket} and {@code usefulByBucket}
     *     by intended start, {@code doneByBucket} by end, and {@code wrongNotRun}, -1 if no stand-in verified them
     */
    public JsonNode json() {
        return json;
    }

    /**
     * Returns the figures of a kind in a phase.
     *
     * @param phase the phase's name
     * @param kind the kind's name
     * @return the figures, or a missing node if there are none
     */
    public JsonNode figures(String phase, String kind) {
        for (JsonNode entry : json.path("phases")) {
            if (entry.path("phase").asText().equals(phase)) {
                return entry.path("kinds").path(kind);
            }
        }
        return JSON.missingNode();
    }

    /**
     * Returns how many requests of a kind were answered within their deadline during a phase, whenever they started.
     *
     * @param phase the phase's name
     * @param kind the kind's name
     * @return the answers per second
     */
    public double answersPerSecond(String phase, String kind) {
        long bucketMs = json.path("timelineBucketMs").asLong();
        long fromMs = 0;
        for (JsonNode entry : json.path("phases")) {
            long durationMs = entry.path("durationMs").asLong();
            if (entry.path("phase").asText().equals(phase)) {
                long answers = 0;
                for (long bucket = fromMs / bucketMs; bucket < (fromMs + durationMs) / bucketMs; bucket++) {
                    answers += json.path("doneByBucket")
                            .path(kind)
                            .path((int) bucket)
                            .asLong();
                }
                return answers * 1000.0 / durationMs;
            }
            fromMs += durationMs;
        }
        return 0;
    }

    /**
     * Returns the report as a table.
     *
     * @return lines of text
     */
    public String text() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-14s %-16s", "phase", "kind"));
        COLUMNS.forEach(column -> text.append(String.format(Locale.ROOT, " %15s", column)));
        text.append('\n');
        for (JsonNode phase : json.path("phases")) {
            phase.path("kinds").properties().forEach(kind -> {
                text.append(String.format(
                        Locale.ROOT, "%-14s %-16s", phase.path("phase").asText(), kind.getKey()));
                COLUMNS.forEach(column -> text.append(String.format(
                        Locale.ROOT, " %15s", kind.getValue().path(column).asText())));
                text.append('\n');
            });
        }
        return text.append("wrongNotRun ")
                .append(json.path("wrongNotRun").asText())
                .append('\n')
                .toString();
    }

    /**
     * Returns the report as formatted JSON.
     *
     * @return the text
     */
    public String prettyJson() {
        try {
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the report to JSON", e);
        }
    }
}
