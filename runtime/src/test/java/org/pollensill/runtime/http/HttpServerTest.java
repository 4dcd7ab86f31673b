package org.pollensill.runtime.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollensill.runtime.net.EventLoops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against ambiguously delimited requests, responses out of order, and requests cut off by a shutdown. */
class HttpServerTest {

    private final EventLoopGroup loops = EventLoops.of(1);
    private final AtomicInteger handledRequests = new AtomicInteger();
    private final CompletableFuture<Responder> heldResponder = new CompletableFuture<>();
    private HttpServer server;

    @BeforeEach
    void listen() throws ListenException {
        server = HttpServer.listen(
                loops,
                new InetSocketAddress("127.0.0.1", 0),
                new HttpLimits(1024, 1024, 30_000),
                Optional.empty(),
                this::handle);
    }

    @AfterEach
    void close() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void handle(Request request, Responder responder) {
        handledRequests.incrementAndGet();
        if (request.uri().equals("/held")) {
            heldResponder.complete(responder);
            return;
        }
        responder.answer(Answer.text(200, "answer to " + request.uri()));
    }

    @Nested
    class MalformedRequests {

        @ParameterizedTest(name = "{0}")
        @CsvSource(delimiter = '|', textBlock = """
            length and chunked | POST / HTTP/1.1~Host: a~Content-Length: 4~Transfer-Encoding: chunked~~0~~ | 400
            two lengths        | POST / HTTP/1.1~Host: a~Content-Length: 4~Content-Length: 5~~abcde        | 400
            negative length    | POST / HTTP/1.1~Host: a~Content-Length: -1~~                              | 400
            bad chunk size     | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~zz~~                  | 400
            no version         | GET /~~                                                                    | 400
            space in name      | GET / HTTP/1.1~Host : a~~                                                  | 400
            oversized body     | POST / HTTP/1.1~Host: a~Content-Length: 2000~~                             | 413
            oversized headers  | GET / HTTP/1.1~Host: a~X: LONG~~                                           | 400
            """)
        void shouldRejectBeforeHandlerIsCalled(String name, String text, int status) throws Exception {
            String bytes = text.replace("~", "\r\n").replace("LONG", "x".repeat(2000));
            try (RawConnection connection = new RawConnection(server.address())) {
                String response = connection.send(bytes).readAll();
                assertTrue(response.startsWith("HTTP/1.1 " + status), response);
                assertTrue(response.contains("\"error\""), response);
                assertEquals(0, handledRequests.get());
            }
        }
    }

    @Nested
    class Pipelining {

        @Test
        void shouldRespondInOrderWhenRequestsArePipelined() throws Exception {
            try (RawConnection connection = new RawConnection(server.address())) {
                connection.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                        + "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                String responses = connection.readAll();
                int first = responses.indexOf("answer to /1");
                int second = responses.indexOf("answer to /2");
                int third = responses.indexOf("answer to /3");
                assertTrue(0 < first && first < second && second < third, responses);
            }
        }
    }

    @Nested
    class Draining {

        @Test
        void shouldCompleteRequestInProgressBeforeClosing() throws Exception {
            try (RawConnection connection = new RawConnection(server.address())) {
                connection.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
                Responder responder = heldResponder.get(10, TimeUnit.SECONDS);
                CompletableFuture<Void> stopped = server.stop();
                assertFalse(stopped.isDone());
                responder.answer(Answer.text(200, "whole"));
                String response = connection.readAll();
                assertTrue(response.endsWith("whole"), response);
                assertTrue(response.toLowerCase(java.util.Locale.ROOT).contains("connection: close"), response);
                stopped.get(10, TimeUnit.SECONDS);
            }
        }

        @Test
        void shouldAnswerRequestInFlightOnIdleConnection() throws Exception {
            try (RawConnection connection = new RawConnection(server.address())) {
                connection.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n").readUntil("answer to /1");
                server.stop();
                String response =
                        connection.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n").readAll();
                assertTrue(response.endsWith("answer to /2"), response);
            }
        }
    }
}
