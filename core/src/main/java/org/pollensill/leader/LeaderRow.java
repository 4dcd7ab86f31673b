package org.pollensill.leader;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.admission.LoadForecast;
import org.pollensill.admission.MemoryCredit;
import org.pollensill.json.JsonObject;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.json.JsonText;

/**
 * The stored state of the leader lease. Every commit of the leader rewrites it with the next sequence number.
 *
 * @param leader name of the leading coordinator
 * @param incarnation identity of the coordinator's process
 * @param peerAddress address at which its peers connect to it
 * @param fencingToken the fencing token, which increases with each takeover
 * @param sequence number of the leader's last commit
 * @param released whether the leader has released its lease
 * @param waitingJobs accepted jobs by queue for which no task has started
 * @param leases bounds of the leases that runners may hold, empty where a former version has written the row
 * @param loading whether the leader has not loaded its state yet, so that its numbers of waiting jobs mean nothing
 * @param forecast what the leader foresees for jobs that come now, empty where it does not know yet
 * @param credit the memory for further jobs, that of the former leader while this one loads; empty where none has led
 */
public record LeaderRow(
        String leader,
        String incarnation,
        String peerAddress,
        long fencingToken,
        long sequence,
        boolean released,
        Map<String, Integer> waitingJobs,
        Optional<LeaseBounds> leases,
        boolean loading,
        Optional<LoadForecast> forecast,
        Optional<MemoryCredit> credit) {

    /**
     * Creates a row.
     *
     * @throws NullPointerException if an argument is null
     */
    public LeaderRow {
        Objects.requireNonNull(leader, "leader is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        waitingJobs = Map.copyOf(Objects.requireNonNull(waitingJobs, "waitingJobs is null"));
        Objects.requireNonNull(leases, "leases is null");
        Objects.requireNonNull(forecast, "forecast is null");
        Objects.requireNonNull(credit, "credit is null");
    }

    /**
     * Returns the row as JSON, its stored form.
     *
     * @return the JSON text
     */
    public String encode() {
        return JsonText.object(json -> {
            json.writeStringField("leader", leader);
            json.writeStringField("incarnation", incarnation);
            json.writeStringField("peerAddress", peerAddress);
            json.writeNumberField("fence", fencingToken);
            json.writeNumberField("sequence", sequence);
            json.writeBooleanField("released", released);
            if (loading) {
                json.writeBooleanField("loading", true);
            }
            json.writeObjectFieldStart("waitingJobs");
            for (Map.Entry<String, Integer> queue : waitingJobs.entrySet()) {
                json.writeNumberField(queue.getKey(), queue.getValue());
            }
            json.writeEndObject();
            if (leases.isPresent()) {
                json.writeObjectFieldStart("leases");
                leases.get().write(json);
                json.writeEndObject();
            }
            if (forecast.isPresent()) {
                json.writeObjectFieldStart("forecast");
                forecast.get().write(json);
                json.writeEndObject();
            }
            if (credit.isPresent()) {
                json.writeObjectFieldStart("credit");
                credit.get().write(json);
                json.writeEndObject();
            }
        });
    }

    /**
     * Decodes a stored row.
     *
     * @param text the JSON text
     * @return the row
     * @throws JsonSyntaxException if the text is no valid leader row
     */
    public static LeaderRow decode(String text) throws JsonSyntaxException {
        JsonObject row = JsonObject.parse(text);
        Map<String, Integer> waitingByQueue = new LinkedHashMap<>();
        JsonObject storedWaiting = row.object("waitingJobs").orElse(new JsonObject(Map.of()));
        for (String queue : storedWaiting.members().keySet()) {
            waitingByQueue.put(queue, storedWaiting.integer(queue).orElse(0L).intValue());
        }
        Optional<MemoryCredit> credit = row.object("credit").flatMap(MemoryCredit::read);
        if (credit.isEmpty() && !row.isTrue("loading")) {
            credit = Optional.of(MemoryCredit.OF_FORMER_VERSION);
        }
        return new LeaderRow(
                row.text("leader").orElseThrow(() -> new JsonSyntaxException("missing text: leader")),
                row.text("incarnation").orElse(""),
                row.text("peerAddress").orElse(""),
                row.integer("fence").orElseThrow(() -> new JsonSyntaxException("missing number: fence")),
                row.integer("sequence").orElse(0L),
                row.isTrue("released"),
                waitingByQueue,
                row.object("leases").map(LeaseBounds::read),
                row.isTrue("loading"),
                row.object("forecast").map(LoadForecast::read),
                credit);
    }
}
