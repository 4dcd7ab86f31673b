package org.pollensill.burn;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Counters as stored in a row of the table service: the counts of one incarnation of a process, or the archive of a
 * zone, which holds the sum over all incarnations that have ended.
 *
 * @param zone the zone
 * @param sequence sequence number of the write, starting at 1
 * @param writtenAtMs wall-clock time of the write
 * @param series counts by service and kind
 * @param archivedSequences in an archive: sequence number of the last write of each incarnation that it contains
 */
record BurnRow(
        String zone,
        long sequence,
        long writtenAtMs,
        Map<BurnKey, BurnSeries> series,
        Map<String, Long> archivedSequences) {

    static final String ROW_PREFIX = "burn/row/";
    static final String ARCHIVE_PREFIX = "burn/archive/";

    /**
     * Max number of incarnations that an archive lists. A zone of the target size has about 370 restarts a day. A process
     * that is suspended until its entry has been evicted loses its counts.
     */
    static final int MAX_ARCHIVED_INCARNATIONS = 512;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Creates a row. */
    BurnRow {
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(series, "series is null");
        Objects.requireNonNull(archivedSequences, "archivedSequences is null");
    }

    static BurnRow emptyArchive(String zone) {
        return new BurnRow(zone, 0, 0, new TreeMap<>(), new LinkedHashMap<>());
    }

    /** Returns a copy of this archive that also contains the counts of an ended incarnation. */
    BurnRow withArchived(String incarnation, BurnRow ended, long nowMs) {
        Map<BurnKey, BurnSeries> sum = new TreeMap<>();
        series.forEach((key, keySeries) -> sum.put(key, keySeries.copy()));
        ended.series.forEach((key, keySeries) ->
                sum.computeIfAbsent(key, absent -> new BurnSeries()).add(keySeries));
        sum.values().forEach(keySeries -> keySeries.compact(nowMs));
        Map<String, Long> archived = new LinkedHashMap<>(archivedSequences);
        archived.put(incarnation, ended.sequence);
        while (archived.size() > MAX_ARCHIVED_INCARNATIONS) {
            archived.remove(archived.keySet().iterator().next());
        }
        return new BurnRow(zone, sequence + 1, nowMs, sum, archived);
    }

    String toJson() {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("zone", zone).put("sequence", sequence).put("writtenAtMs", writtenAtMs);
        ObjectNode counts = json.putObject("series");
        series.forEach((key, keySeries) -> counts.put(key.toString(), keySeries.encode()));
        if (!archivedSequences.isEmpty()) {
            ObjectNode ended = json.putObject("folded");
            archivedSequences.forEach(ended::put);
        }
        return json.toString();
    }

    /** Parses a row; returns empty if it is not valid. */
    static Optional<BurnRow> parse(String text) {
        try {
            JsonNode json = MAPPER.readTree(text);
            Map<BurnKey, BurnSeries> series = new TreeMap<>();
            json.path("series").fields().forEachRemaining(field -> {
                int slash = field.getKey().indexOf('/');
                BurnKey key = new BurnKey(
                        field.getKey().substring(0, slash), field.getKey().substring(slash + 1));
                series.put(key, BurnSeries.decode(field.getValue().asText()));
            });
            Map<String, Long> archivedSequences = new LinkedHashMap<>();
            json.path("folded")
                    .fields()
                    .forEachRemaining(field -> archivedSequences.put(
                            field.getKey(), field.getValue().asLong()));
            return Optional.of(new BurnRow(
                    json.path("zone").asText(),
                    json.path("sequence").asLong(),
                    json.path("writtenAtMs").asLong(),
                    series,
                    archivedSequences));
        } catch (JsonProcessingException | RuntimeException e) {
            return Optional.empty();
        }
    }
}
