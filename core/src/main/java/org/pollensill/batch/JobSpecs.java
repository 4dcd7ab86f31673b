package org.pollensill.batch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.pollensill.worker.Resources;

/** Parses and formats job specifications as JSON. Comments and trailing commas are accepted. */
public final class JobSpecs {

    /** Maximum number of tasks of a job, which keeps snapshots small. More tasks must be split into several jobs. */
    static final int MAX_TASKS = 10_000;

    private static final int MAX_URGENCY = 9;
    private static final int DEFAULT_URGENCY = 5;
    private static final int MAX_EXCERPT_CHARS = 60;
    private static final int MAX_TEXT_CHARS = 4096;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final List<String> KEYS = List.of(
            "key",
            "team",
            "kind",
            "command",
            "tasks",
            "urgency",
            "processorsMillicores",
            "memoryBytes",
            "accelerators",
            "durationMs",
            "checkpointable");
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    private JobSpecs() {}

    /**
     * Parses a specification.
     *
     * @param text the JSON text
     * @return the specification
     * @throws JobSpecException if the specification is invalid; all problems are listed
     */
    public static JobSpec parse(String text) throws JobSpecException {
        JsonNode root;
        try {
            root = MAPPER.readTree(Objects.requireNonNull(text, "text is null"));
        } catch (JsonProcessingException e) {
            String location = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw new JobSpecException(
                    List.of(new SpecProblem("$", truncate(text), "is not valid JSON" + location, Optional.empty())));
        }
        return new Reader(root).read();
    }

    /**
     * Formats a specification in compact form.
     *
     * @param spec the specification
     * @return JSON text without line breaks
     */
    public static String format(JobSpec spec) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("key", spec.key()).put("team", spec.team()).put("kind", spec.kind());
        node.put("command", spec.command()).put("tasks", spec.tasks()).put("urgency", spec.urgency());
        node.put("processorsMillicores", spec.size().processorsMillicores());
        node.put("memoryBytes", spec.size().memoryBytes());
        node.put("accelerators", spec.size().accelerators());
        node.put("durationMs", spec.durationMs()).put("checkpointable", spec.checkpointable());
        return node.toString();
    }

    private static String truncate(String text) {
        return text.length() <= MAX_EXCERPT_CHARS ? text : text.substring(0, MAX_EXCERPT_CHARS) + "...";
    }

    /** Reads one specification and collects its problems. */
    private static final class Reader {

        private final JsonNode root;
        private final List<SpecProblem> problems = new ArrayList<>();

        private Reader(JsonNode root) {
            this.root = root;
        }

        private JobSpec read() throws JobSpecException {
            if (!root.isObject()) {
                throw new JobSpecException(List.of(
                        new SpecProblem("$", truncate(root.toString()), "must be an object", Optional.empty())));
            }
            Iterator<Map.Entry<String, JsonNode>> fields = root.fields();
            while (fields.hasNext()) {
                Map.Entry<String, JsonNode> field = fields.next();
                if (!KEYS.contains(field.getKey())) {
                    addProblem(field.getKey(), "is not a known key", Optional.of(nearest(field.getKey())));
                }
            }
            String key = name("key");
            String team = name("team");
            String kind = name("kind");
            String command = text("command");
            long tasks = number("tasks", 1, MAX_TASKS, Optional.of(1L));
            long urgency = number("urgency", 0, MAX_URGENCY, Optional.of((long) DEFAULT_URGENCY));
            long processors = number("processorsMillicores", 1, Integer.MAX_VALUE, Optional.empty());
            long memory = number("memoryBytes", 1, Long.MAX_VALUE / MAX_TASKS, Optional.empty());
            long accelerators = number("accelerators", 0, Short.MAX_VALUE, Optional.of(0L));
            long duration = number("durationMs", 0, Long.MAX_VALUE / 2, Optional.of(0L));
            boolean checkpointable = flag("checkpointable", true);
            if (!problems.isEmpty()) {
                throw new JobSpecException(problems);
            }
            Resources size = new Resources(processors, memory, accelerators);
            return new JobSpec(key, team, kind, command, (int) tasks, (int) urgency, size, duration, checkpointable);
        }

        private String name(String key) {
            JsonNode node = root.get(key);
            if (node == null) {
                addProblem(key, "is missing", Optional.empty());
            } else if (!node.isTextual() || !NAME.matcher(node.textValue()).matches()) {
                addProblem(
                        key,
                        "must be a string of at most 128 letters, digits, dots, dashes and underscores, starting with a"
                                + " letter or digit",
                        Optional.empty());
            }
            return node == null ? "" : node.asText();
        }

        private String text(String key) {
            JsonNode node = root.get(key);
            if (node == null) {
                addProblem(key, "is missing", Optional.empty());
                return "";
            }
            if (!node.isTextual()
                    || node.textValue().isBlank()
                    || node.textValue().length() > MAX_TEXT_CHARS) {
                addProblem(
                        key, "must be a non-blank string of 1 to " + MAX_TEXT_CHARS + " characters", Optional.empty());
            }
            return node.asText();
        }

        private long number(String key, long min, long max, Optional<Long> defaultValue) {
            JsonNode node = root.get(key);
            if (node == null) {
                if (defaultValue.isEmpty()) {
                    addProblem(key, "is missing", Optional.empty());
                }
                return defaultValue.orElse(min);
            }
            if (!node.canConvertToLong() || !node.isIntegralNumber() || node.asLong() < min || node.asLong() > max) {
                addProblem(key, "must be an integer from " + min + " to " + max, Optional.empty());
                return min;
            }
            return node.asLong();
        }

        private boolean flag(String key, boolean defaultValue) {
            JsonNode node = root.get(key);
            if (node != null && !node.isBoolean()) {
                addProblem(key, "must be true or false", Optional.empty());
            }
            return node == null ? defaultValue : node.asBoolean();
        }

        private void addProblem(String key, String message, Optional<String> nearestKey) {
            JsonNode node = root.get(key);
            String value = node == null ? "nothing" : truncate(node.toString());
            problems.add(new SpecProblem("$." + key, value, message, nearestKey));
        }

        private static String nearest(String key) {
            String nearest = KEYS.get(0);
            for (String known : KEYS) {
                if (distance(key, known) < distance(key, nearest)) {
                    nearest = known;
                }
            }
            return nearest;
        }

        /** Returns the case-insensitive Levenshtein distance. */
        private static int distance(String left, String right) {
            String a = left.toLowerCase(java.util.Locale.ROOT);
            String b = right.toLowerCase(java.util.Locale.ROOT);
            int[] row = new int[b.length() + 1];
            for (int j = 0; j <= b.length(); j++) {
                row[j] = j;
            }
            for (int i = 1; i <= a.length(); i++) {
                int diagonal = row[0];
                row[0] = i;
                for (int j = 1; j <= b.length(); j++) {
                    int substituted = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                    diagonal = row[j];
                    row[j] = Math.min(substituted, 1 + Math.min(row[j], row[j - 1]));
                }
            }
            return row[b.length()];
        }
    }
}
