package org.pollensill.batch;

import java.nio.charset.StandardCharsets;

/**
 * Text encoding of a shard's state: per job the record that creates it, followed by one line per task that is no longer
 * in its initial state. Histories of tasks are not stored.
 */
final class SnapshotCodec {

    private SnapshotCodec() {}

    static byte[] encode(ShardState state) {
        StringBuilder out = new StringBuilder(1024);
        out.append("N ").append(state.nextJobNumber()).append('\n');
        for (Job job : state.jobs()) {
            out.append(RecordCodec.encode(new LogRecord.Submitted(job.id(), job.submittedMs(), job.spec())))
                    .append('\n');
            for (Task task : job.tasks()) {
                encode(task, out);
            }
            if (job.state() != JobState.ACTIVE) {
                out.append("e ").append(job.state()).append(' ');
                out.append(RecordCodec.oneLine(job.reason())).append('\n');
            }
            for (String worker : job.failedOn()) {
                out.append("f ").append(worker).append('\n');
            }
        }
        return out.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void encode(Task task, StringBuilder out) {
        if (task.state() == TaskState.QUEUED && task.attempt() == 0) {
            return;
        }
        out.append("t ").append(task.index()).append(' ').append(task.state().ordinal());
        out.append(' ').append(task.attempt()).append(' ').append(task.failures());
        out.append(' ').append(RecordCodec.encodeOptional(task.worker()));
        out.append(' ').append(RecordCodec.encodeOptional(task.resumeFrom()));
        out.append(' ').append(RecordCodec.encodeOptional(task.checkpointId()));
        if (task.state().isPlaced()) {
            out.append(' ').append(RecordCodec.encode(task.allocated()));
        }
        out.append('\n');
    }

    static ShardState decode(byte[] content) {
        ShardState state = new ShardState();
        Job job = null;
        for (String line : new String(content, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith("N ")) {
                state.restoreNextJobNumber(Long.parseLong(line.substring(2)));
            } else if (line.startsWith("J ")) {
                LogRecord.Submitted submitted = (LogRecord.Submitted) RecordCodec.decode(line);
                state.apply(submitted, 0);
                job = state.job(submitted.jobId()).orElseThrow();
            } else if (line.startsWith("t ")) {
                decodeTask(line, job, state);
            } else if (line.startsWith("e ")) {
                String[] fields = line.split(" ", 3);
                state.restoreEnd(job, JobState.valueOf(fields[1]), fields[2]);
            } else if (line.startsWith("f ")) {
                job.failedOn().add(line.substring(2));
            } else if (!line.isEmpty()) {
                throw new IllegalArgumentException("invalid snapshot line: " + line);
            }
        }
        return state;
    }

    private static void decodeTask(String line, Job job, ShardState state) {
        String[] f = line.split(" ", 9);
        Task task = job.tasks().get(Integer.parseInt(f[1]));
        TaskState taskState = TaskState.values()[Integer.parseInt(f[2])];
        state.restoreTask(task, () -> {
            task.restore(
                    taskState,
                    Integer.parseInt(f[3]),
                    RecordCodec.decodeOptional(f[5]),
                    RecordCodec.decodeOptional(f[6]),
                    RecordCodec.decodeOptional(f[7]),
                    taskState.isPlaced() ? RecordCodec.resources(f[8]) : org.pollensill.worker.Resources.NONE);
            task.restoreFailures(Integer.parseInt(f[4]));
        });
    }
}
