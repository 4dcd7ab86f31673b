package org.pollensill.scheduler;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.pollensill.batch.ClientAnswer;
import org.pollensill.batch.JobSpecException;
import org.pollensill.batch.SpecProblem;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Errors;

/** Answers to operators about jobs and tasks. */
final class JobJson {

    static final ObjectMapper MAPPER = new ObjectMapper();

    private JobJson() {}

    static Answer answer(ClientAnswer answer) {
        if (answer instanceof ClientAnswer.Submitted submitted) {
            ObjectNode body = job(submitted.job()).put("created", submitted.created());
            return json(submitted.created() ? 201 : 200, body);
        }
        if (answer instanceof ClientAnswer.KeyTaken taken) {
            return Errors.answer(
                    409, "job-key-taken", "job " + taken.jobId() + " has this key and asks for something else", "");
        }
        if (answer instanceof ClientAnswer.Cancelled cancelled) {
            return json(200, job(cancelled.job()));
        }
        if (answer instanceof ClientAnswer.Cancelling cancelling) {
            return json(202, job(cancelling.job()).put("cancelling", true));
        }
        if (answer instanceof ClientAnswer.Shown shown) {
            return json(200, job(shown.job()));
        }
        if (answer instanceof ClientAnswer.Explained explained) {
            return json(200, task(explained.task()));
        }
        if (answer instanceof ClientAnswer.NotFound missing) {
            return Errors.answer(404, "not-found", "there is no " + missing.what(), "");
        }
        if (answer instanceof ClientAnswer.Unavailable unavailable) {
            return Errors.answer(503, "not-run", unavailable.reason(), "").withHeader("Retry-After", "1");
        }
        if (answer instanceof ClientAnswer.Unknown unknown) {
            return Errors.answer(504, "unknown", unknown.reason() + "; repeating the call is safe", "");
        }
        return Errors.answer(500, "unexpected", "unexpected answer " + answer, "");
    }

    static ObjectNode job(ClientAnswer.JobView job) {
        return MAPPER.createObjectNode()
                .put("id", job.id())
                .put("key", job.key())
                .put("team", job.team())
                .put("state", job.state().name().toLowerCase(Locale.ROOT))
                .put("reason", job.reason())
                .put("submittedMs", job.submittedMs())
                .put("tasks", job.tasks())
                .put("queued", job.queued())
                .put("placed", job.placed())
                .put("ended", job.ended());
    }

    private static ObjectNode task(ClientAnswer.TaskView task) {
        ObjectNode node = MAPPER.createObjectNode()
                .put("id", task.id())
                .put("state", task.state().name().toLowerCase(Locale.ROOT))
                .put("attempt", task.attempt())
                .put("worker", task.worker())
                .put("resumeFrom", task.resumeFrom())
                .put("waitsFor", task.waitsFor());
        ArrayNode history = node.putArray("history");
        task.history().forEach(history::add);
        return node;
    }

    static Answer invalid(JobSpecException failure) {
        ObjectNode error = MAPPER.createObjectNode();
        error.put("type", "invalid-job").put("message", failure.getMessage()).put("requestId", "");
        ArrayNode problems = error.putArray("problems");
        for (SpecProblem problem : failure.problems()) {
            ObjectNode node = problems.addObject();
            node.put("path", problem.path()).put("value", problem.value()).put("message", problem.message());
            problem.nearestKey().ifPresent(key -> node.put("nearestKey", key));
        }
        ObjectNode body = MAPPER.createObjectNode();
        body.set("error", error);
        return json(400, body);
    }

    static Answer json(int status, JsonNode body) {
        try {
            return Answer.json(status, MAPPER.writeValueAsBytes(body));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
