package org.pollensill.job;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.queue.AdviceTiming;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class JobCodecTest {

    @Test
    void shouldDecodeAnEncodedJobWithEveryField() throws JsonSyntaxException {
        StepSpec first = new StepSpec(
                4,
                new Resources(1_500, 1L << 30, 1),
                900,
                List.of(),
                Set.of(Trait.CHECKPOINTS, Trait.FILLS),
                new PlacementRule(Optional.of("gpu"), Optional.of("r1"), 2),
                new ServiceLevel(Optional.of("image"), 50, 1));
        StepSpec second =
                new StepSpec(1, Resources.NONE, 0, List.of(0), Set.of(), PlacementRule.ANY, ServiceLevel.NONE);
        JobRequest job = new JobRequest(
                "5c0e7a21d94b36f8",
                "queue",
                "service",
                "text with \"quotes\" and \n lines",
                List.of(first, second),
                new JobSchedule(1_000, 500, 3),
                77,
                Optional.of(new JobTerms(2, 4, 1.5, 400, Optional.of(new AdviceTiming(10, 2, 3_000)))));
        assertEquals(job, JobCodec.decode(JobCodec.encode(job)));
    }

    @Test
    void shouldDecodeEncodedProgress() throws JsonSyntaxException {
        JobRecord record = new JobRecord(
                JobStatus.RUNNING,
                List.of(
                        new TaskRecord(0, 1, 2, true, 3, 1, "", Optional.empty()),
                        new TaskRecord(
                                1, 0, 0, false, 1, 0, "00ff", Optional.of(new TaskRecord.RunnerIncarnation("r1", 9)))));
        assertEquals(record, JobCodec.decodeRecord(JobCodec.encode(record)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{",
                "{\"status\":\"SOMETHING\",\"tasks\":[]}",
                "{\"tasks\":[]}",
                "{\"status\":\"RUNNING\",\"tasks\":[[1,2]]}",
                "{\"status\":\"RUNNING\",\"tasks\":[[0,0,0,0,\"1\",0,\"\",\"\",0]]}"
            })
    void shouldRefuseMalformedProgress(String text) {
        assertThrows(JsonSyntaxException.class, () -> JobCodec.decodeRecord(text));
    }
}
