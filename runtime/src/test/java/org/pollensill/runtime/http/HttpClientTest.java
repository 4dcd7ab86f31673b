package org.pollensill.runtime.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollensill.runtime.net.EventLoops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against truncated responses accepted as complete, requests wrongly reported as not sent, and connections
 * reused before the response was read completely.
 */
class HttpClientTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    private final EventLoopGroup loops = EventLoops.of(1);
    private final Semaphore acceptedConnections = new Semaphore(0);
    private ServerSocket listener;

    @AfterEach
    void close() throws IOException {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        if (listener != null) {
            listener.close();
        }
    }

    /** Starts a server that sends the same bytes for every request and optionally closes the connection afterwards. */
    private InetSocketAddress startServer(String response, boolean close) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    acceptedConnections.release();
                    new Thread(() -> respondToAll(socket, response, close)).start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private static void respondToAll(Socket socket, String response, boolean close) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (readRequestHead(in)) {
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                if (close) {
                    return;
                }
            }
        } catch (IOException e) {
            // The client closed the connection, which is the end of the exchange.
        }
    }

    private static boolean readRequestHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        return true;
    }

    private HttpClient client(int connections, int queuedRequests) {
        return HttpClient.of(loops, new ClientLimits(connections, queuedRequests, 1_000, 10_000, 1_000));
    }

    private static HttpException failure(CompletableFuture<Answer> response) {
        ExecutionException failure = assertThrows(ExecutionException.class, () -> response.get(10, TimeUnit.SECONDS));
        return (HttpException) failure.getCause();
    }

    @Nested
    class InvalidResponses {

        @ParameterizedTest(name = "{0}")
        @CsvSource(delimiter = '|', textBlock = """
            truncated body     | HTTP/1.1 200 OK~Content-Length: 9~~part         | true  | CLOSED
            truncated chunks   | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~  | true  | CLOSED
            no marked end      | HTTP/1.1 200 OK~~part                            | true  | INVALID_ANSWER
            no answer          | ''                                               | true  | CLOSED
            not HTTP           | garbage~~                                        | true  | INVALID_ANSWER
            too large          | HTTP/1.1 200 OK~Content-Length: 2000~~          | false | INVALID_ANSWER
            silent             | ''                                               | false | TIMED_OUT
            """)
        void shouldFailAndReportTheRequestAsSent(
                String name, String response, boolean close, HttpException.Reason reason) throws Exception {
            InetSocketAddress address = startServer(response.replace("~", "\r\n"), close);
            HttpException failure = failure(client(1, 0).send(address, Request.get("/"), 3_000));
            assertEquals(reason, failure.reason());
            assertEquals(true, failure.sent());
        }
    }

    @Nested
    class UnsentRequests {

        @Test
        void shouldReportNotSentWhenConnectionIsRefused() throws Exception {
            InetSocketAddress address = startServer(OK, false);
            listener.close();
            HttpException failure = failure(client(1, 0).send(address, Request.get("/"), 2_000));
            assertEquals(HttpException.Reason.CONNECTION_REFUSED, failure.reason());
            assertEquals(false, failure.sent());
        }

        @Test
        void shouldReportNotSentWhenGuardForbids() throws Exception {
            InetSocketAddress address = startServer(OK, false);
            HttpException failure = failure(client(1, 0).send(address, Request.get("/"), 2_000, () -> false));
            assertEquals(HttpException.Reason.FORBIDDEN_BY_GUARD, failure.reason());
            assertEquals(false, failure.sent());
        }

        @Test
        void shouldReportNotSentWhenConnectionLimitIsReached() throws Exception {
            InetSocketAddress address = startServer("", false);
            HttpClient client = client(1, 0);
            client.send(address, Request.get("/held"), 2_000);
            HttpException failure = failure(client.send(address, Request.get("/"), 2_000));
            assertEquals(HttpException.Reason.LIMIT_REACHED, failure.reason());
            assertEquals(false, failure.sent());
        }
    }

    @Nested
    class ConnectionReuse {

        @Test
        void shouldReuseConnectionForSequentialRequests() throws Exception {
            InetSocketAddress address = startServer(OK, false);
            HttpClient client = client(1, 8);
            for (int i = 0; i < 5; i++) {
                Answer response =
                        client.send(address, Request.get("/" + i), 2_000).get(10, TimeUnit.SECONDS);
                assertEquals("whole", new String(response.body(), StandardCharsets.ISO_8859_1));
            }
            assertTrue(acceptedConnections.tryAcquire(10, TimeUnit.SECONDS));
            assertEquals(0, acceptedConnections.availablePermits());
        }

        // Guards against a request for one process that is written to a connection to its successor.
        @Test
        void shouldRememberTheProcessOnlyOnItsConnection() throws Exception {
            InetSocketAddress address = startServer(OK, false);
            HttpClient client = client(1, 8);
            List<Optional<String>> peers = new ArrayList<>();
            Function<ClientConnection, Request> request = connection -> {
                peers.add(connection.peer());
                connection.identifyPeer("first");
                return Request.get("/");
            };
            client.send(address, request, 10_000, SendGuard.ALLOW).get(10, TimeUnit.SECONDS);
            client.send(address, request, 10_000, SendGuard.ALLOW).get(10, TimeUnit.SECONDS);
            client.discardIdle(address);
            client.send(address, request, 10_000, SendGuard.ALLOW).get(10, TimeUnit.SECONDS);
            assertEquals(List.of(Optional.empty(), Optional.of("first"), Optional.empty()), peers);
        }

        @Test
        void shouldOpenNewConnectionAfterFailure() throws Exception {
            InetSocketAddress address = startServer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false);
            HttpClient client = client(1, 8);
            failure(client.send(address, Request.get("/1"), 300));
            failure(client.send(address, Request.get("/2"), 300));
            assertTrue(acceptedConnections.tryAcquire(2, 10, TimeUnit.SECONDS));
        }
    }
}
