package org.pollensill.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.json.JsonText;
import org.pollensill.platform.Row;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ProgressLayoutPropertyTest {

    private static final int MAX_ROW_BYTES = 65_536;
    private static final int MAX_KEY_BYTES = 200;
    private static final int MAX_TASKS = 10_000;

    @Provide
    Arbitrary<String> runnerIds() {
        return Arbitraries.strings().withCharRange('!', '~').ofMinLength(1).ofMaxLength(MAX_KEY_BYTES);
    }

    @Provide
    Arbitrary<String> checkpoints() {
        return Arbitraries.strings()
                .ofMaxLength(ProgressLayout.MAX_CHECKPOINT_BYTES)
                .filter(text -> JsonText.encodedBytes(text) <= ProgressLayout.MAX_CHECKPOINT_BYTES);
    }

    private static List<TaskRecord> longestRow(String runnerId, String checkpoint) {
        List<TaskRecord> tasks = new ArrayList<>();
        for (int i = 0; i < ProgressLayout.TASKS_PER_ROW; i++) {
            tasks.add(new TaskRecord(
                    MAX_TASKS,
                    MAX_TASKS,
                    MAX_TASKS,
                    false,
                    Integer.MAX_VALUE,
                    Integer.MAX_VALUE,
                    checkpoint,
                    Optional.of(new TaskRecord.RunnerIncarnation(runnerId, Long.MIN_VALUE))));
        }
        return tasks;
    }

    // Guards against a row that the store rejects, whatever the shape of the job and the length of the texts.
    @Property(tries = 300, seed = "351")
    void shouldKeepTheLongestRowWithinTheStoresLimit(
            @ForAll("runnerIds") String runnerId, @ForAll("checkpoints") String checkpoint) {
        JobRecord record = new JobRecord(JobStatus.CANCELLED, longestRow(runnerId, checkpoint));
        assertTrue(JobCodec.encode(record).getBytes(StandardCharsets.UTF_8).length <= MAX_ROW_BYTES);
    }

    @Property(tries = 1, seed = "352")
    void shouldKeepTheRowOfTheLongestTextsWithinTheStoresLimit() {
        String runnerId = "\"".repeat(MAX_KEY_BYTES);
        String checkpoint = "c".repeat(ProgressLayout.MAX_CHECKPOINT_BYTES);
        JobRecord record = new JobRecord(JobStatus.CANCELLED, longestRow(runnerId, checkpoint));
        int bytes = JobCodec.encode(record).getBytes(StandardCharsets.UTF_8).length;
        assertTrue(bytes <= MAX_ROW_BYTES, () -> bytes + " bytes");
    }

    @Property(tries = 200, seed = "353")
    void shouldJoinTheRowsOfAJobInAnyOrder(
            @ForAll @IntRange(min = 1, max = 300) int tasks, @ForAll @IntRange(min = 0, max = 6) int first)
            throws JsonSyntaxException {
        List<Row> rows = new ArrayList<>();
        for (int row = 0; row <= ProgressLayout.rowOf(tasks - 1); row++) {
            List<TaskRecord> records = new ArrayList<>();
            for (int i = row * ProgressLayout.TASKS_PER_ROW;
                    i < Math.min(tasks, (row + 1) * ProgressLayout.TASKS_PER_ROW);
                    i++) {
                records.add(new TaskRecord(0, 0, i, true, 1, 0, "", Optional.empty()));
            }
            String value = row == 0
                    ? JobCodec.encode(new JobRecord(JobStatus.RUNNING, records))
                    : JobCodec.encodeTasks(records);
            rows.add(new Row("progress/" + ProgressLayout.rowName("aaaaaaaaaaaaaaaa", row), 1, value));
        }
        java.util.Collections.rotate(rows, first);
        StoredProgress progress = new StoredProgress();
        for (Row row : rows) {
            progress.add(row);
        }
        JobRecord joined = progress.take("aaaaaaaaaaaaaaaa").get();
        assertEquals(tasks, Set.copyOf(joined.tasks()).size());
        assertEquals(rows.size() - 1, joined.furtherRows().size());
    }
}
