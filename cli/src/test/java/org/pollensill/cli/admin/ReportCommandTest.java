package org.pollensill.cli.admin;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.pollensill.burn.BurnKey;
import org.pollensill.burn.Cause;
import org.pollensill.burn.Verdict;
import org.pollensill.cli.ExitCode;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.runtime.admin.AdminServer;
import org.pollensill.runtime.admin.OperatorTokens;
import org.pollensill.runtime.burn.BurnAgent;
import org.pollensill.runtime.http.HttpLimits;
import org.pollensill.runtime.http.HttpServer;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.EventLoops;
import org.pollensill.runtime.peer.PeerIdentity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs the report on error-budget burn against the admin listener of a process. */
class ReportCommandTest {

    private static final long NOW_MS = 1_796_679_000_000L;

    @TempDir
    private Path directory;

    private final EventLoopGroup loops = EventLoops.of(1);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private volatile boolean unavailable;
    private HttpServer server;

    /** A table service without rows that can be made unavailable. */
    private final class EmptyTables implements TableService {

        @Override
        public CompletableFuture<List<Row>> read(List<String> keys, List<Prefix> prefixes) {
            return unavailable
                    ? CompletableFuture.failedFuture(
                            new PlatformException(PlatformException.Effect.NONE, "store is unavailable"))
                    : CompletableFuture.completedFuture(List.of());
        }

        @Override
        public CompletableFuture<CommitOutcome> commit(Commit commit) {
            return CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Effect.NONE, "commits are not supported"));
        }
    }

    @BeforeEach
    void start() throws Exception {
        Path tokens = directory.resolve("tokens.json");
        Files.writeString(tokens, "{\"tokens\":[{\"token\":\"t\",\"name\":\"ana\",\"rights\":[\"read\"]}]}");
        Files.writeString(directory.resolve("token"), "t");
        PeerIdentity self = new PeerIdentity("entry", "serra", "caxias", "e1", "1", "127.0.0.1:1");
        BurnAgent agent = new BurnAgent(loops, self, new EmptyTables(), Optional::empty, () -> true, () -> NOW_MS);
        BurnKey seamCheck = new BurnKey("balcao-reparo", "seam-check");
        for (int i = 0; i < 600; i++) {
            boolean refused = i % 4 == 0;
            agent.counters()
                    .record(seamCheck, refused ? Verdict.REFUSED : Verdict.MET, Cause.FLOOD, NOW_MS - i * 6_000L);
            agent.counters().met(new BurnKey("balcao-reparo", "mildew-watch"), NOW_MS - i * 6_000L);
        }
        AdminServer admin = new AdminServer(OperatorTokens.read(tokens), new PrometheusRegistry());
        agent.register(admin);
        server = HttpServer.listen(
                loops, new InetSocketAddress("127.0.0.1", 0), HttpLimits.OPERATORS, Optional.empty(), admin);
    }

    @AfterEach
    void stop() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private String runReport(String format) {
        out.reset();
        List<String> arguments = List.of(
                "burn",
                "--output",
                format,
                "--admin",
                Addresses.format(server.address()),
                "--token-file",
                directory.resolve("token").toString());
        int code = new ReportCommand().run(arguments, new PrintStream(out, true), new PrintStream(err, true));
        assertEquals(ExitCode.OK, code, err.toString(StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Guards against a report that omits an alert or its cause in one of the formats. */
    @Test
    void shouldShowAlertAndCauseInEveryFormat() {
        String text = runReport("text");
        assertTrue(text.contains("fast,medium") && text.contains("flood 150"), text);
        assertTrue(runReport("json").contains("\"causes\":{\"flood\":150}"), out::toString);
        assertTrue(runReport("html").contains("1 of 2 kinds of work have alerts"), out::toString);
    }

    /** Guards against a report that presents the counts of one process as those of the fleet. */
    @Test
    void shouldNotePartialReportWhenStoreIsUnavailable() {
        assertFalse(runReport("text").contains("note:"), out::toString);
        unavailable = true;
        assertTrue(runReport("text").contains("note: the store does not answer; only e1"), out::toString);
    }

    /** Guards against incorrect usage that exits with a code other than 2. */
    @Test
    void shouldExitWithCode2OnIncorrectUsage() {
        PrintStream sink = new PrintStream(out, true);
        assertEquals(ExitCode.USAGE, new ReportCommand().run(List.of("burn", "--output", "pdf"), sink, sink));
        assertEquals(ExitCode.USAGE, new ReportCommand().run(List.of("sales"), sink, sink));
    }
}
