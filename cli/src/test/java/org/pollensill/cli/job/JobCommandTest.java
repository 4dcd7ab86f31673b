package org.pollensill.cli.job;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollensill.cli.Command;
import org.pollensill.cli.ExitCode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against exit codes that do not match the outcome, since scripts depend on them. */
class JobCommandTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(Command command, String commandLine) {
        return command.run(List.of(commandLine.split(" ")), new PrintStream(out), new PrintStream(err));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "submit",
                "show --server 127.0.0.1:1",
                "show j1-1",
                "show j1-1 --server localhost:1",
                "show j1/1 --server 127.0.0.1:1",
                "list surplus --server 127.0.0.1:1",
                "dance --server 127.0.0.1:1",
                "list --server 127.0.0.1:1 --output xml",
                "list --server 127.0.0.1:1 --limit many",
                "submit /nowhere/job.json --server 127.0.0.1:1"
            })
    void shouldPrintOneLineOnIncorrectUsage(String commandLine) {
        assertEquals(ExitCode.USAGE, run(new JobCommand(Map.of()), commandLine));
        assertEquals(1, err.toString().lines().count(), err.toString());
    }

    @Test
    void shouldReportUnavailableWhenNoSchedulerResponds() {
        // Port 1 on loopback refuses connections, so the request cannot have had an effect.
        assertEquals(ExitCode.UNAVAILABLE, run(new JobCommand(Map.of()), "cancel j1-1 --server 127.0.0.1:1"));
        assertEquals(ExitCode.UNAVAILABLE, run(new TaskCommand(Map.of()), "explain j1-1/0 --server 127.0.0.1:1"));
    }

    @Test
    void shouldRefuseTaskIdWithoutIndex() {
        assertEquals(ExitCode.USAGE, run(new TaskCommand(Map.of()), "explain j1-1 --server 127.0.0.1:1"));
        assertTrue(err.toString().contains("j1-1"));
    }

    @Test
    void shouldReadServersFromEnvironment() {
        JobCommand command = new JobCommand(Map.of("POLLENSILL_SCHEDULERS", "127.0.0.1:1"));
        assertEquals(ExitCode.UNAVAILABLE, run(command, "list"));
    }
}
