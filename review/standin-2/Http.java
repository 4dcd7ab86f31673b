import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;

/** HTTP server and client helpers on the JDK's own classes. */
final class Http {

    /** An answer; status 0 means that the connection is closed without one. */
    record Answer(int status, String body) {}

    /** Handles a request. */
    interface Handler {
        Answer handle(HttpExchange exchange, String body) throws InterruptedException;
    }

    static {
        // The cases address a queue by its host, as the users' clients do.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private Http() {}

    static HttpServer serve(InetSocketAddress address, ExecutorService threads, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(address, 256);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            try {
                Answer answer = handler.handle(exchange, body);
                if (answer.status() == 0) {
                    exchange.close();
                    return;
                }
                byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) {
                    exchange.getResponseBody().write(bytes);
                }
                exchange.close();
            } catch (InterruptedException e) {
                exchange.close();
            } catch (RuntimeException e) {
                System.err.println("stand-in: " + e);
                e.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Sends a request; status 0 stands for no answer in time. */
    static Answer call(String method, String address, String path, String host, String body, long timeoutMs) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .header("Host", host)
                .header("Content-Type", "application/json")
                .header("X-Pollensill-Deadline-Ms", Long.toString(timeoutMs))
                .method(method, body.isEmpty()
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException | InterruptedException e) {
            return new Answer(0, String.valueOf(e));
        }
    }
}
