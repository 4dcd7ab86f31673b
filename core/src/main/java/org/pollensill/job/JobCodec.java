package org.pollensill.job;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonGenerator;
import org.pollensill.json.JsonObject;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.json.JsonText;
import org.pollensill.queue.AdviceTiming;
import org.pollensill.worker.Resources;

/** Encodes and decodes the stored form of jobs and of their progress. */
public final class JobCodec {

    private static final int TASK_RECORD_FIELDS = 9;
    private static final String ENDED = "ended";
    private static final String ENDED_PREFIX = "{\"" + ENDED + "\":";

    /** The stored progress of jobs that have ended, which is the same for all that have ended alike. */
    private static final Map<String, JobStatus> ENDED_RECORDS = Arrays.stream(JobStatus.values())
            .filter(JobStatus::isFinal)
            .collect(Collectors.toMap(status -> encode(new JobRecord(status, List.of())), status -> status));

    private JobCodec() {}

    /**
     * Returns the stored form of a job.
     *
     * @param job the job
     * @return the JSON text
     */
    public static String encode(JobRequest job) {
        return JsonText.object(json -> {
            json.writeStringField("id", job.id());
            json.writeStringField("queue", job.queue());
            json.writeStringField("service", job.service());
            json.writeStringField("payload", job.payload());
            json.writeNumberField("acceptedAtMs", job.acceptedAtMs());
            if (job.schedule().isScheduled()) {
                json.writeNumberField("firstDueMs", job.schedule().firstDueMs());
                json.writeNumberField("intervalMs", job.schedule().intervalMs());
                json.writeNumberField("occurrences", job.schedule().occurrences());
            }
            if (job.terms().isPresent()) {
                writeTerms(json, job.terms().get());
            }
            json.writeArrayFieldStart("steps");
            for (StepSpec step : job.steps()) {
                writeStep(json, step);
            }
            json.writeEndArray();
        });
    }

    private static void writeTerms(JsonGenerator json, JobTerms terms) throws IOException {
        json.writeObjectFieldStart("terms");
        json.writeNumberField("priority", terms.priority());
        json.writeNumberField("attempts", terms.attempts());
        json.writeNumberField("stretch", terms.stretch());
        json.writeNumberField("targetLatencyMs", terms.targetLatencyMs());
        if (terms.advice().isPresent()) {
            AdviceTiming advice = terms.advice().get();
            json.writeNumberField("adviceDecisionMs", advice.decisionMs());
            json.writeNumberField("advicePerRunnerMs", advice.perRunnerMs());
            json.writeNumberField("adviceValidMs", advice.validMs());
        }
        json.writeEndObject();
    }

    private static Optional<JobTerms> readTerms(JsonObject job) throws JsonSyntaxException {
        Optional<JsonObject> found = job.object("terms");
        if (found.isEmpty()) {
            return Optional.empty();
        }
        JsonObject terms = found.get();
        Optional<AdviceTiming> advice = Optional.empty();
        if (terms.members().containsKey("adviceValidMs")) {
            advice = Optional.of(new AdviceTiming(
                    longOrZero(terms, "adviceDecisionMs"),
                    longOrZero(terms, "advicePerRunnerMs"),
                    longOrZero(terms, "adviceValidMs")));
        }
        return Optional.of(new JobTerms(
                (int) longOrZero(terms, "priority"),
                (int) terms.integer("attempts")
                        .filter(attempts -> attempts >= 1 && attempts <= Integer.MAX_VALUE)
                        .orElseThrow(() -> new JsonSyntaxException("terms without a number of attempts"))
                        .longValue(),
                terms.number("stretch").orElse(1.0),
                longOrZero(terms, "targetLatencyMs"),
                advice));
    }

    private static void writeStep(JsonGenerator json, StepSpec step) throws IOException {
        json.writeStartObject();
        json.writeNumberField("count", step.count());
        json.writeNumberField("processorsMillicores", step.need().processorsMillicores());
        json.writeNumberField("memoryBytes", step.need().memoryBytes());
        writeUnlessZero(json, "accelerators", step.need().accelerators());
        writeUnlessZero(json, "estimateMs", step.estimateMs());
        if (!step.predecessors().isEmpty()) {
            json.writeArrayFieldStart("after");
            for (int predecessor : step.predecessors()) {
                json.writeNumber(predecessor);
            }
            json.writeEndArray();
        }
        if (!step.traits().isEmpty()) {
            json.writeArrayFieldStart("traits");
            for (Trait trait : step.traits()) {
                json.writeString(trait.name());
            }
            json.writeEndArray();
        }
        if (step.placement().requiredLabel().isPresent()) {
            json.writeStringField(
                    "requiredLabel", step.placement().requiredLabel().get());
        }
        if (step.placement().dataRack().isPresent()) {
            json.writeStringField("dataRack", step.placement().dataRack().get());
        }
        writeUnlessZero(json, "maxPerRunner", step.placement().maxPerRunner());
        if (step.serviceLevel().image().isPresent()) {
            json.writeStringField("image", step.serviceLevel().image().get());
        }
        writeUnlessZero(json, "targetTailMs", step.serviceLevel().tailLatencyTargetMs());
        writeUnlessZero(json, "mayMiss", step.serviceLevel().maxUnavailable());
        json.writeEndObject();
    }

    private static void writeUnlessZero(JsonGenerator json, String name, long value) throws IOException {
        if (value != 0) {
            json.writeNumberField(name, value);
        }
    }

    /**
     * Decodes a stored job.
     *
     * @param text the text
     * @return the job
     * @throws JsonSyntaxException if the text is not the stored form of a job
     */
    public static JobRequest decode(String text) throws JsonSyntaxException {
        JsonObject job = JsonObject.parse(text);
        List<StepSpec> steps = new ArrayList<>();
        for (JsonObject step : job.objects("steps")) {
            steps.add(readStep(step));
        }
        JobSchedule schedule = new JobSchedule(
                longOrZero(job, "firstDueMs"), longOrZero(job, "intervalMs"), (int) longOrZero(job, "occurrences"));
        return new JobRequest(
                requiredString(job, "id"),
                requiredString(job, "queue"),
                requiredString(job, "service"),
                requiredString(job, "payload"),
                steps,
                schedule,
                longOrZero(job, "acceptedAtMs"),
                readTerms(job));
    }

    private static StepSpec readStep(JsonObject step) throws JsonSyntaxException {
        List<Integer> predecessors = new ArrayList<>();
        for (Object item : step.list("after")) {
            if (item instanceof Long predecessor) {
                predecessors.add(predecessor.intValue());
            }
        }
        Set<Trait> traits = EnumSet.noneOf(Trait.class);
        for (String name : step.texts("traits")) {
            try {
                traits.add(Trait.valueOf(name));
            } catch (IllegalArgumentException e) {
                throw new JsonSyntaxException("unknown trait: " + name, e);
            }
        }
        return new StepSpec(
                (int) longOrZero(step, "count"),
                new Resources(
                        longOrZero(step, "processorsMillicores"),
                        longOrZero(step, "memoryBytes"),
                        longOrZero(step, "accelerators")),
                longOrZero(step, "estimateMs"),
                predecessors,
                traits,
                new PlacementRule(
                        step.text("requiredLabel"), step.text("dataRack"), (int) longOrZero(step, "maxPerRunner")),
                new ServiceLevel(
                        step.text("image"), longOrZero(step, "targetTailMs"), (int) longOrZero(step, "mayMiss")));
    }

    private static String requiredString(JsonObject object, String name) throws JsonSyntaxException {
        return object.text(name).orElseThrow(() -> new JsonSyntaxException("missing or malformed text: " + name));
    }

    private static long longOrZero(JsonObject object, String name) {
        return object.integer(name).orElse(0L);
    }

    /**
     * Returns the stored form of a job that has ended, which replaces that of the whole job.
     *
     * @param status its final state
     * @return the JSON text
     */
    public static String encodeEnded(JobStatus status) {
        return JsonText.object(json -> json.writeStringField(ENDED, status.name()));
    }

    /**
     * Decodes the stored form of a job that has ended.
     *
     * @param text the stored form of a job
     * @return its final state, empty if the text is that of a whole job
     * @throws JsonSyntaxException if the text names no final state
     */
    public static Optional<JobStatus> decodeEnded(String text) throws JsonSyntaxException {
        if (!text.startsWith(ENDED_PREFIX)) {
            return Optional.empty();
        }
        JobStatus status = readStatus(JsonObject.parse(text), ENDED);
        if (!status.isFinal()) {
            throw new JsonSyntaxException("not a final state: " + status);
        }
        return Optional.of(status);
    }

    private static JobStatus readStatus(JsonObject object, String name) throws JsonSyntaxException {
        try {
            return JobStatus.valueOf(requiredString(object, name));
        } catch (IllegalArgumentException e) {
            throw new JsonSyntaxException("unknown status", e);
        }
    }

    /**
     * Returns the stored form of a job's progress.
     *
     * @param job the progress of the job
     * @return the JSON text
     */
    public static String encode(JobRecord job) {
        return JsonText.object(json -> {
            json.writeStringField("status", job.status().name());
            writeTasks(json, job.tasks());
        });
    }

    /**
     * Returns the stored form of a further row of a job's progress.
     *
     * @param tasks the tasks of the row
     * @return the JSON text
     */
    public static String encodeTasks(List<TaskRecord> tasks) {
        return JsonText.object(json -> writeTasks(json, tasks));
    }

    private static void writeTasks(JsonGenerator json, List<TaskRecord> tasks) throws IOException {
        json.writeArrayFieldStart("tasks");
        for (TaskRecord task : tasks) {
            json.writeStartArray();
            json.writeNumber(task.occurrence());
            json.writeNumber(task.step());
            json.writeNumber(task.index());
            json.writeNumber(task.done() ? 1 : 0);
            json.writeNumber(task.run());
            json.writeNumber(task.failures());
            json.writeString(task.checkpoint());
            json.writeString(task.assignedRunner()
                    .map(TaskRecord.RunnerIncarnation::runnerId)
                    .orElse(""));
            json.writeNumber(task.assignedRunner()
                    .map(TaskRecord.RunnerIncarnation::incarnationStartMs)
                    .orElse(0L));
            json.writeEndArray();
        }
        json.writeEndArray();
    }

    /**
     * Decodes the stored progress of a job.
     *
     * @param text the text
     * @return the progress
     * @throws JsonSyntaxException if the text is not the stored form of the progress of a job
     */
    public static JobRecord decodeRecord(String text) throws JsonSyntaxException {
        JsonObject record = JsonObject.parse(text);
        return new JobRecord(readStatus(record, "status"), readTasks(record));
    }

    /**
     * Decodes the stored progress of a job if it holds a final state and no tasks.
     *
     * @param text the text
     * @return the state, empty for other progress
     */
    static Optional<JobStatus> decodeEndedRecord(String text) {
        return Optional.ofNullable(ENDED_RECORDS.get(text));
    }

    /**
     * Decodes a further row of a job's progress.
     *
     * @param text the text
     * @return the tasks of the row
     * @throws JsonSyntaxException if the text is not the stored form of such a row
     */
    public static List<TaskRecord> decodeTasks(String text) throws JsonSyntaxException {
        return readTasks(JsonObject.parse(text));
    }

    private static List<TaskRecord> readTasks(JsonObject record) throws JsonSyntaxException {
        List<TaskRecord> tasks = new ArrayList<>();
        for (Object item : record.list("tasks")) {
            tasks.add(readTask(item));
        }
        return tasks;
    }

    private static TaskRecord readTask(Object item) throws JsonSyntaxException {
        if (!(item instanceof List<?> fields) || fields.size() != TASK_RECORD_FIELDS) {
            throw new JsonSyntaxException("malformed task record: not an array of the right length");
        }
        if (!(fields.get(6) instanceof String checkpoint) || !(fields.get(7) instanceof String runner)) {
            throw new JsonSyntaxException("malformed task record: field 6 or 7 is not a string");
        }
        Optional<TaskRecord.RunnerIncarnation> assignedRunner = runner.isEmpty()
                ? Optional.empty()
                : Optional.of(new TaskRecord.RunnerIncarnation(runner, longAt(fields, 8)));
        return new TaskRecord(
                (int) longAt(fields, 0),
                (int) longAt(fields, 1),
                (int) longAt(fields, 2),
                longAt(fields, 3) == 1,
                (int) longAt(fields, 4),
                (int) longAt(fields, 5),
                checkpoint,
                assignedRunner);
    }

    private static long longAt(List<?> fields, int index) throws JsonSyntaxException {
        if (fields.get(index) instanceof Long number) {
            return number;
        }
        throw new JsonSyntaxException("malformed task record: non-integer in a numeric field");
    }
}
