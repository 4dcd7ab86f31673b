package org.pollensill.batch;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against unclear error messages for invalid job specifications and against their silent acceptance. */
class JobSpecsTest {

    @Test
    void shouldAcceptComments() throws JobSpecException {
        JobSpec spec = JobSpecs.parse("""
                // Rebuilds the catalogue.
                {"key": "k", "team": "t", "kind": "c", "command": "run", /* one core */
                 "processorsMillicores": 1000, "memoryBytes": 5,}
                """);
        assertEquals(1, spec.tasks());
        assertEquals(spec, JobSpecs.parse(JobSpecs.format(spec)));
    }

    @Test
    void shouldReportAllProblemsAtOnceWithTheNearestKey() {
        JobSpecException exception = assertThrows(
                JobSpecException.class,
                () -> JobSpecs.parse("{\"key\": \"a b\", \"team\": \"t\", \"kind\": \"c\", \"command\": \"\","
                        + " \"memoryByte\": 5, \"tasks\": 0, \"processorsMillicores\": 1.5, \"urgency\": 12}"));
        String message = exception.getMessage();
        for (String path : new String[] {"$.key", "$.command", "$.memoryBytes", "$.tasks", "$.processorsMillicores"}) {
            assertTrue(message.contains(path + ":"), path + " in " + message);
        }
        assertTrue(message.contains("did you mean memoryBytes?"), message);
        assertTrue(message.contains("found 1.5"), message);
        assertEquals(7, exception.problems().size());
    }

    @Test
    void shouldReportTheLocationOfASyntaxError() {
        JobSpecException exception = assertThrows(JobSpecException.class, () -> JobSpecs.parse("{\"key\": \n ]"));
        assertTrue(exception.getMessage().contains("line 2"), exception.getMessage());
    }
}
