import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server on a loopback address. */
final class Http {

    /** An answer; a status of 0 closes the connection without one. */
    record Answer(int status, String body) {}

    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, String body, HttpExchange exchange)
                throws Exception;
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    private Http() {}

    static HttpServer serve(String ip, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            try (exchange) {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Answer answer = handler.handle(
                        exchange.getRequestMethod(),
                        exchange.getRequestURI().getPath(),
                        query(exchange.getRequestURI().getRawQuery()),
                        body,
                        exchange);
                if (answer.status() == 0) {
                    return;
                }
                byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) {
                    exchange.getResponseBody().write(bytes);
                }
            } catch (IOException e) {
                // The caller has gone.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        server.start();
        return server;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> parameters = new LinkedHashMap<>();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                parameters.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }
}
