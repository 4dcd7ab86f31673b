package org.pollensill.scheduler;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.pollensill.batch.TaskId;
import org.pollensill.batch.WorkerCall;
import org.pollensill.batch.WorkerReport;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Request;
import org.pollensill.worker.Resources;

/** JSON bodies of the worker protocol. */
final class WorkerWire {

    static final ObjectMapper MAPPER = new ObjectMapper();

    private WorkerWire() {}

    static Request request(WorkerCall call) {
        if (call instanceof WorkerCall.Start start) {
            return post("/start", start(start));
        }
        if (call instanceof WorkerCall.Renew renew) {
            ObjectNode body = MAPPER.createObjectNode().put("epoch", renew.epoch());
            ArrayNode leases = body.putArray("leases");
            for (WorkerCall.Lease lease : renew.leases()) {
                named(leases.addObject(), lease.task(), lease.attempt())
                        .put("leaseUntilWorkerClockMs", lease.leaseUntilWorkerClockMs());
            }
            return post("/renew", body);
        }
        if (call instanceof WorkerCall.Throttle throttle) {
            return post(
                    "/throttle",
                    named(throttle.epoch(), throttle.task(), throttle.attempt()).put("percent", throttle.percent()));
        }
        if (call instanceof WorkerCall.Checkpoint checkpoint) {
            return post(
                    "/checkpoint",
                    named(checkpoint.epoch(), checkpoint.task(), checkpoint.attempt())
                            .put("checkpointId", checkpoint.checkpointId()));
        }
        if (call instanceof WorkerCall.Stop stop) {
            return post("/stop", named(stop.epoch(), stop.task(), stop.attempt()));
        }
        WorkerCall.Acknowledge acknowledge = (WorkerCall.Acknowledge) call;
        ObjectNode body = MAPPER.createObjectNode().put("epoch", acknowledge.epoch());
        ArrayNode finished = body.putArray("finished");
        acknowledge.ended().forEach(ended -> named(finished.addObject(), ended.task(), ended.attempt()));
        return post("/acknowledge", body);
    }

    private static ObjectNode start(WorkerCall.Start start) {
        return named(start.epoch(), start.task(), start.attempt())
                .put("startBeforeWorkerClockMs", start.startBeforeWorkerClockMs())
                .put("leaseUntilWorkerClockMs", start.leaseUntilWorkerClockMs())
                .put("command", start.spec().command())
                .put("durationMs", start.spec().durationMs())
                .put("processorsMillicores", start.allocated().processorsMillicores())
                .put("memoryBytes", start.allocated().memoryBytes())
                .put("accelerators", start.allocated().accelerators())
                .put("resumeFrom", start.resumeFrom());
    }

    private static ObjectNode named(long epoch, TaskId task, int attempt) {
        return named(MAPPER.createObjectNode().put("epoch", epoch), task, attempt);
    }

    private static ObjectNode named(ObjectNode node, TaskId task, int attempt) {
        return node.put("task", task.toString()).put("attempt", attempt);
    }

    private static Request post(String path, ObjectNode body) {
        try {
            return Request.postJson(path, MAPPER.writeValueAsBytes(body));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static WorkerCall.Result result(Answer answer) {
        if (answer.status() == 200) {
            return WorkerCall.Result.DONE;
        }
        if (answer.status() != 409) {
            return WorkerCall.Result.UNKNOWN;
        }
        boolean late = parse(answer)
                .map(node -> node.path("result").asText().equals("late"))
                .orElse(false);
        return late ? WorkerCall.Result.LATE : WorkerCall.Result.REFUSED;
    }

    /** Reads a report; one that cannot be read whole says nothing, since a missing task would count as ended. */
    static Optional<WorkerReport> report(Answer answer) {
        Optional<JsonNode> body = answer.status() == 200 ? parse(answer) : Optional.empty();
        if (body.isEmpty() || !body.get().path("workerClockMs").isIntegralNumber()) {
            return Optional.empty();
        }
        JsonNode node = body.get();
        if (!node.path("tasks").isArray()) {
            return Optional.empty();
        }
        List<WorkerReport.TaskReport> tasks = new ArrayList<>();
        for (JsonNode entry : node.path("tasks")) {
            Optional<TaskId> id = TaskId.parse(entry.path("task").asText());
            Optional<WorkerReport.State> state = state(entry.path("state").asText());
            if (id.isEmpty() || state.isEmpty()) {
                return Optional.empty();
            }
            JsonNode usage = entry.path("usage");
            tasks.add(new WorkerReport.TaskReport(
                    id.get(),
                    entry.path("attempt").asInt(),
                    state.get(),
                    entry.path("exitReason").asText(""),
                    entry.path("checkpointId").asText(""),
                    new Resources(
                            Math.max(0, usage.path("processorsMillicores").asLong()),
                            Math.max(0, usage.path("memoryBytes").asLong()),
                            0),
                    usage.path("progressPercent").asInt()));
        }
        return Optional.of(new WorkerReport(
                node.path("worker").asText(),
                node.path("workerClockMs").asLong(),
                node.path("epoch").asLong(),
                tasks,
                node.path("usageAgeMs").asLong()));
    }

    private static Optional<WorkerReport.State> state(String name) {
        try {
            return Optional.of(WorkerReport.State.valueOf(name.toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<JsonNode> parse(Answer answer) {
        try {
            return Optional.of(MAPPER.readTree(answer.body()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
