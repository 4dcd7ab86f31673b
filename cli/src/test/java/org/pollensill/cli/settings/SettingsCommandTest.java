package org.pollensill.cli.settings;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollensill.cli.ExitCode;
import org.pollensill.runtime.admin.AdminServer;
import org.pollensill.runtime.admin.OperatorTokens;
import org.pollensill.runtime.http.HttpLimits;
import org.pollensill.runtime.http.HttpServer;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.EventLoops;
import org.pollensill.runtime.peer.FleetToken;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.runtime.settings.SettingsAdmin;
import org.pollensill.runtime.settings.SettingsAgent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs the settings commands against the admin listener of a process. */
class SettingsCommandTest {

    @TempDir
    private Path directory;

    private final EventLoopGroup loops = EventLoops.of(1);
    private final InMemoryStore store = new InMemoryStore();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private SettingsAgent agent;
    private HttpServer server;
    private String token = "change-token";

    @BeforeEach
    void start() throws Exception {
        Path tokens = directory.resolve("tokens.json");
        Files.writeString(
                tokens,
                "{\"tokens\":[{\"token\":\"change-token\",\"name\":\"ana\",\"rights\":[\"read\",\"change\"]},"
                        + "{\"token\":\"read-token\",\"name\":\"bia\",\"rights\":[\"read\"]}]}");
        PeerIdentity self = new PeerIdentity("entry", "serra", "caxias", "e1", "1", "127.0.0.1:1");
        PeerHub hub = new PeerHub(loops, self, FleetToken.of("secret"));
        agent = new SettingsAgent(loops, hub, self, store, store, () -> true, System::currentTimeMillis);
        AdminServer admin = new AdminServer(OperatorTokens.read(tokens), new PrometheusRegistry());
        SettingsAdmin.register(admin, agent, self, System::currentTimeMillis);
        server = HttpServer.listen(
                loops, new InetSocketAddress("127.0.0.1", 0), HttpLimits.OPERATORS, Optional.empty(), admin);
        agent.start();
    }

    @AfterEach
    void stop() {
        agent.stop();
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private int run(String... commandLine) throws Exception {
        out.reset();
        err.reset();
        Path tokenFile = directory.resolve("token");
        Files.writeString(tokenFile, token + "\n");
        List<String> arguments = new ArrayList<>(Arrays.asList(commandLine));
        arguments.addAll(List.of("--admin", Addresses.format(server.address()), "--token-file", tokenFile.toString()));
        return new SettingsCommand().run(arguments, new PrintStream(out, true), new PrintStream(err, true));
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    /** Guards against a change by an operator without the right, and against a wrong author in the history. */
    @Test
    void shouldRecordOperatorOfToken() throws Exception {
        token = "read-token";
        assertEquals(ExitCode.REFUSED, run("set", "defaults.batch.leaseMs", "20000", "--reason", "shorter"));
        assertTrue(err().contains("lacks the right"), err());
        token = "unknown-token";
        assertEquals(ExitCode.REFUSED, run("get"));
        token = "change-token";
        assertEquals(ExitCode.OK, run("set", "defaults.batch.leaseMs", "20000", "--reason", "shorter"), err());
        assertEquals("revision 1\n", out());
        assertEquals(ExitCode.OK, run("history"));
        assertTrue(out().contains("ana     shorter  defaults.batch.leaseMs"), out());
    }

    /** Guards against an edited file that overwrites a concurrent change by another operator. */
    @Test
    void shouldConflictWhenEditedFileIsOlderThanChangeOfSamePath() throws Exception {
        Path file = directory.resolve("tree.json");
        run("set", "defaults.batch.leaseMs", "20000", "--reason", "r");
        assertEquals(ExitCode.OK, run("edit", file.toString()), err());
        assertEquals(ExitCode.REFUSED, run("edit", file.toString()));
        Files.writeString(file, Files.readString(file).replace("20000", "25000"));
        run("set", "defaults.entry.drainMs", "7", "--reason", "other path");
        assertEquals(ExitCode.OK, run("apply", file.toString(), "--reason", "r"), err());
        assertEquals("- defaults.batch.leaseMs = 20000\n+ defaults.batch.leaseMs = 25000\nrevision 3\n", out());
        run("get", "defaults.entry.drainMs");
        assertEquals("7\n", out(), "a change of another path was lost");
        Files.writeString(file, Files.readString(file).replace("25000", "26000"));
        assertEquals(ExitCode.CONFLICT, run("apply", file.toString(), "--reason", "r"));
        assertTrue(err().contains("revision 3 by ana"), err());
    }

    /** Guards against a rollback that creates no new revision, or that the diff does not show. */
    @Test
    void shouldRollBackAndShowDifference() throws Exception {
        run("set", "defaults.timeZone", "America/Sao_Paulo", "--reason", "r");
        run("set", "defaults.timeZone", "UTC", "--reason", "r");
        assertEquals(ExitCode.OK, run("rollback", "1", "--reason", "bad change"), err());
        assertEquals("revision 3\n", out());
        assertEquals(ExitCode.OK, run("diff", "2"));
        assertEquals("- defaults.timeZone = \"UTC\"\n+ defaults.timeZone = \"America/Sao_Paulo\"\n", out());
        run("rollback", "1", "--reason", "again");
        assertEquals("nothing to change\n", out());
        assertEquals(ExitCode.OK, run("effective", "serra/caxias"));
        assertTrue(out().contains("timeZone                       \"America/Sao_Paulo\"  defaults"), out());
        assertEquals(ExitCode.OK, run("status", "3", "--wait"));
        assertTrue(out().contains("applied by 1 of 1 known processes"), out());
        assertEquals(ExitCode.TIMEOUT, run("status", "4", "--wait", "--timeout", "0"));
    }

    /** Guards against a change that is accepted, or reported with unknown outcome, while the store is unavailable. */
    @Test
    void shouldReportUnavailableWhenStoreIsUnavailable() throws Exception {
        run("set", "defaults.batch.leaseMs", "20000", "--reason", "r");
        store.unavailable = true;
        assertEquals(ExitCode.UNAVAILABLE, run("set", "defaults.batch.leaseMs", "30000", "--reason", "r"));
        assertTrue(err().contains("the change had no effect"), err());
        assertEquals(ExitCode.OK, run("get", "defaults.batch.leaseMs"));
    }

    /** Guards against invalid changes and files that are accepted, or problems that are reported one at a time. */
    @Test
    void shouldReportEveryProblem() throws Exception {
        assertEquals(ExitCode.REFUSED, run("set", "defaults.batch.leasMs", "1", "--reason", "r"));
        assertTrue(err().contains("nearest known key: leaseMs"), err());
        Path file = directory.resolve("tree.json");
        Files.writeString(file, "{\"defaults\":{\"batch\":{\"leaseMs\":0,\"x\":1}}}");
        assertEquals(ExitCode.REFUSED, run("validate", file.toString(), "--output", "json"));
        assertTrue(out().contains("defaults.batch.leaseMs") && out().contains("defaults.batch.x"), out());
    }

    /** Guards against incorrect usage that prints more than one line or exits with a code other than 2. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "frobnicate",
                "get a b",
                "set a",
                "set defaults.batch.leaseMs 1",
                "history --limit many",
                "get --output xml",
                "get --unknown",
                "rollback x --reason r"
            })
    void shouldExitWithCode2OnIncorrectUsage(String commandLine) throws Exception {
        assertEquals(ExitCode.USAGE, commandLine.isEmpty() ? run() : run(commandLine.split(" ")), out());
        assertEquals(1, err().lines().count(), err());
    }
}
