package org.pollensill.batch;

import org.pollensill.worker.Resources;

/**
 * Text encoding of log records: one line per record, fields separated by spaces, the first field a letter for the type.
 * Free text is the last field and contains no line breaks. Names contain no spaces.
 */
final class RecordCodec {

    private static final String EMPTY_FIELD = "-";

    private RecordCodec() {}

    static String encode(LogRecord logRecord) {
        if (logRecord instanceof LogRecord.Submitted r) {
            return "J " + r.jobId() + " " + r.submittedMs() + " " + JobSpecs.format(r.spec());
        }
        if (logRecord instanceof LogRecord.Placed r) {
            return "P " + r.task() + " " + r.attempt() + " " + r.worker() + " " + encodeOptional(r.resumeFrom()) + " "
                    + encode(r.allocated());
        }
        if (logRecord instanceof LogRecord.Unplaced r) {
            return "U " + r.task() + " " + r.attempt() + " " + oneLine(r.reason());
        }
        if (logRecord instanceof LogRecord.EvictionBegun r) {
            return "E " + r.task() + " " + r.attempt() + " " + r.checkpointId() + " " + oneLine(r.reason());
        }
        if (logRecord instanceof LogRecord.Checkpointed r) {
            return "C " + r.task() + " " + r.attempt() + " " + r.checkpointId();
        }
        if (logRecord instanceof LogRecord.CheckpointFound r) {
            return "B " + r.task() + " " + r.attempt() + " " + r.checkpointId();
        }
        if (logRecord instanceof LogRecord.Finished r) {
            return "F " + r.task() + " " + r.attempt();
        }
        if (logRecord instanceof LogRecord.Failed r) {
            return "X " + r.task() + " " + r.attempt() + " " + encodeOptional(r.healthyWorker()) + " "
                    + oneLine(r.reason());
        }
        if (logRecord instanceof LogRecord.JobEnded r) {
            return "D " + r.jobId() + " " + r.state() + " " + oneLine(r.reason());
        }
        if (logRecord instanceof LogRecord.WorkerQuarantined r) {
            return "W " + r.worker();
        }
        return "G " + ((LogRecord.JobRemoved) logRecord).jobId();
    }

    static LogRecord decode(String line) {
        String[] f = line.split(" ", 6);
        return switch (f[0]) {
            case "J" -> submitted(line);
            case "P" -> new LogRecord.Placed(task(f[1]), number(f[2]), f[3], decodeOptional(f[4]), resources(f[5]));
            case "U" -> new LogRecord.Unplaced(task(f[1]), number(f[2]), freeText(line, 3));
            case "E" -> new LogRecord.EvictionBegun(task(f[1]), number(f[2]), f[3], freeText(line, 4));
            case "C" -> new LogRecord.Checkpointed(task(f[1]), number(f[2]), f[3]);
            case "B" -> new LogRecord.CheckpointFound(task(f[1]), number(f[2]), f[3]);
            case "F" -> new LogRecord.Finished(task(f[1]), number(f[2]));
            case "X" -> new LogRecord.Failed(task(f[1]), number(f[2]), decodeOptional(f[3]), freeText(line, 4));
            case "D" -> new LogRecord.JobEnded(f[1], JobState.valueOf(f[2]), freeText(line, 3));
            case "W" -> new LogRecord.WorkerQuarantined(f[1]);
            case "G" -> new LogRecord.JobRemoved(f[1]);
            default -> throw new IllegalArgumentException("invalid log record: " + line);
        };
    }

    static String encode(Resources resources) {
        return resources.processorsMillicores() + " " + resources.memoryBytes() + " " + resources.accelerators();
    }

    static Resources resources(String text) {
        String[] f = text.split(" ");
        return new Resources(Long.parseLong(f[0]), Long.parseLong(f[1]), Long.parseLong(f[2]));
    }

    static String encodeOptional(String text) {
        return text.isEmpty() ? EMPTY_FIELD : text;
    }

    static String decodeOptional(String text) {
        return EMPTY_FIELD.equals(text) ? "" : text;
    }

    static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }

    static TaskId task(String text) {
        return TaskId.parse(text).orElseThrow(() -> new IllegalArgumentException("invalid task id: " + text));
    }

    /** Returns the free text after the given number of fields, which may itself contain spaces. */
    static String freeText(String line, int fields) {
        int start = 0;
        for (int i = 0; i < fields; i++) {
            start = line.indexOf(' ', start) + 1;
            if (start == 0) {
                return "";
            }
        }
        return line.substring(start);
    }

    private static LogRecord submitted(String line) {
        String[] f = line.split(" ", 4);
        try {
            return new LogRecord.Submitted(f[1], Long.parseLong(f[2]), JobSpecs.parse(f[3]));
        } catch (JobSpecException e) {
            throw new IllegalArgumentException("invalid log record: " + line, e);
        }
    }

    private static int number(String text) {
        return Integer.parseInt(text);
    }
}
