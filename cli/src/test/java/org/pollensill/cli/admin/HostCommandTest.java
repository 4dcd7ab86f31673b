package org.pollensill.cli.admin;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollensill.cli.ExitCode;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Errors;
import org.pollensill.runtime.http.HttpLimits;
import org.pollensill.runtime.http.HttpServer;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.EventLoops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a declaration that does not reach the zone of the host, or succeeds although no daemon accepts it. */
class HostCommandTest {

    private final EventLoopGroup loops = EventLoops.of(1);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private String startDaemon(boolean sameZone) throws Exception {
        HttpServer server = HttpServer.listen(
                loops,
                new InetSocketAddress("127.0.0.1", 0),
                HttpLimits.OPERATORS,
                Optional.empty(),
                (request, responder) -> responder.answer(
                        sameZone && request.path().equals("/hosts/e2/gone")
                                ? Answer.json(200, "{\"host\":\"e2\"}")
                                : Errors.answer(404, "unknown-host", "no other host e2", "")));
        return Addresses.format(server.address());
    }

    private int run(String admin, String... commandLine) {
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        List<String> arguments = new java.util.ArrayList<>(List.of(commandLine));
        arguments.addAll(List.of("--admin", admin));
        return new HostCommand().run(arguments, stream, stream);
    }

    @Test
    void shouldDeclareHostGoneAtAllDaemonsOfItsZone() throws Exception {
        String addresses = startDaemon(false) + "," + startDaemon(true) + "," + startDaemon(true);
        assertEquals(ExitCode.OK, run(addresses, "gone", "e2"), out::toString);
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("e2 is declared gone at 2 daemons"), out::toString);
    }

    @Test
    void shouldRefuseWhenHostIsUnknownToAllDaemons() throws Exception {
        assertEquals(ExitCode.REFUSED, run(startDaemon(false), "gone", "e2"));
        assertEquals(ExitCode.USAGE, run(startDaemon(true), "back", "e2"));
    }
}
