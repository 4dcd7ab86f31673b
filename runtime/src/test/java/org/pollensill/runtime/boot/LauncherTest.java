package org.pollensill.runtime.boot;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against wrong exit codes and incomplete error messages for an invalid command line or boot file. */
class LauncherTest {

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... arguments) {
        return Launcher.of("pollensill-test", "A daemon.", boot -> null, new PrintStream(out), new PrintStream(err))
                .run(arguments);
    }

    private Path bootFile(String extra) throws IOException {
        Path token = Files.writeString(directory.resolve("token"), "secret\n");
        return Files.writeString(directory.resolve("boot.json"), """
                // Boot file of a test.
                {"host": "e1", "region": "serra", "zone": "caxias", "peerAddress": "127.0.0.1:0",
                 "adminAddress": "127.0.0.1:0", "fleetTokenFile": "%s", %s
                 "platform": {"tables": "127.0.0.1:1", "objects": "127.0.0.1:1", "hosts": "127.0.0.1:1"}}
                """.formatted(token, extra));
    }

    @ParameterizedTest
    @CsvSource({"--help,0", "--version,0", "--unknown,2", "surplus,2", "--check,2", "--config,2"})
    void shouldExitWithTheDocumentedCode(String argument, int exitCode) {
        assertEquals(exitCode, run(argument));
        assertEquals(exitCode == 2 ? 1 : 0, err.toString().lines().count(), err.toString());
    }

    @Test
    void shouldAcceptAValidFileWhenCheckIsGiven() throws IOException {
        assertEquals(0, run("--check", "--config", bootFile("").toString()), err.toString());
    }

    @Test
    void shouldReportAllProblemsOfAFileAtOnce() throws IOException {
        Path file = bootFile("\"callerAddress\": \"localhost:1\", \"colour\": 1, \"log\": {\"level\": \"loud\"},");
        assertEquals(2, run("--check", "--config", file.toString()));
        assertTrue(err.toString().contains("localhost:1"), err.toString());
        assertTrue(err.toString().contains("colour"), err.toString());
        assertTrue(err.toString().contains("loud"), err.toString());
    }
}
