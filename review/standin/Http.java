import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** Small HTTP helpers of the stand-ins. */
final class Http {
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 32_000;
    private static final int MAX_PORT_ATTEMPTS = 50;
    static final ExecutorService EXECUTOR = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "standin");
        thread.setDaemon(true);
        return thread;
    });

    /** A response; a null one means that the connection is closed without an answer. */
    record Response(int status, String body) {}

    @FunctionalInterface
    interface Handler {
        Response handle(String method, String path, Map<String, String> query, HttpExchange exchange, byte[] body)
                throws Exception;
    }

    private Http() {}

    /** Returns a free port below the range from which the system takes the ports of outgoing connections. */
    static int freePort(String ip) throws IOException {
        for (int attempt = 0; ; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                if (attempt == MAX_PORT_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    static HttpServer serve(String ip, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
        server.setExecutor(EXECUTOR);
        server.createContext("/", exchange -> {
            try {
                byte[] body = exchange.getRequestBody().readAllBytes();
                Response response = handler.handle(
                        exchange.getRequestMethod(),
                        exchange.getRequestURI().getPath(),
                        query(exchange.getRequestURI().getRawQuery()),
                        exchange,
                        body);
                if (response == null) {
                    exchange.close();
                    return;
                }
                byte[] answer = response.body().getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(response.status(), answer.length == 0 ? -1 : answer.length);
                if (answer.length > 0) {
                    exchange.getResponseBody().write(answer);
                }
                exchange.close();
            } catch (Exception e) {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                if (equals >= 0) {
                    query.put(
                            URLDecoder.decode(pair.substring(0, equals), StandardCharsets.UTF_8),
                            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
        }
        return query;
    }

    /** Sends one request on a connection of its own; status 0 means no answer. */
    static Response call(String ip, int port, String method, String path, String host, String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            long endNs = System.nanoTime() + timeoutMs * 1_000_000L;
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), timeoutMs);
            socket.setTcpNoDelay(true);
            byte[] payload = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Pollensill-Deadline-Ms: " + timeoutMs
                    + "\r\nConnection: close\r\n"
                    + (payload.length > 0 ? "Content-Type: application/json\r\n" : "")
                    + "Content-Length: " + payload.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(payload);
            socket.getOutputStream().flush();
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[8192];
            while (true) {
                long leftMs = (endNs - System.nanoTime()) / 1_000_000;
                if (leftMs <= 0) {
                    return new Response(0, "no answer in time");
                }
                socket.setSoTimeout((int) leftMs);
                int count = in.read(buffer);
                if (count < 0) {
                    break;
                }
                received.write(buffer, 0, count);
            }
            String text = received.toString(StandardCharsets.UTF_8);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd < 0 || !text.startsWith("HTTP/1.1 ")) {
                return new Response(0, "connection closed");
            }
            return new Response(Integer.parseInt(text.substring(9, 12)), text.substring(headEnd + 4));
        } catch (IOException e) {
            return new Response(0, String.valueOf(e.getMessage()));
        }
    }
}
