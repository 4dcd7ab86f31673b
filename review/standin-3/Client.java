import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Clients: they submit, query and cancel jobs at the front addresses. */
final class Client {

    /** Status 0 stands for no answer. */
    record Reply(int status, String body) {}

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final Record record;

    Client(Record record) {
        this.record = record;
    }

    CompletableFuture<Reply> call(String method, String front, String path, String body, long waitMs) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + front + path))
                .timeout(Duration.ofMillis(waitMs))
                .header("Host", Setting.HOST)
                .header("Content-Type", "application/json")
                .header("X-Pollensill-Deadline-Ms", Long.toString(waitMs))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).handle((answer, failure) -> {
            Reply reply = failure != null ? new Reply(0, "") : new Reply(answer.statusCode(), answer.body());
            record.log(method + " " + path + " at " + front + ": "
                    + (reply.status() == 0 ? "no answer (" + failure + ")" : reply.status() + " " + reply.body()));
            return reply;
        });
    }

    Reply get(String front, String path) {
        return call("GET", front, path, "", 3_000).join();
    }

    /** Hands a job in until it is accepted, as a client does that has no answer or is told to come back. */
    boolean submit(List<String> fronts, String path, String body, int tries) throws InterruptedException {
        for (int i = 0; i < tries; i++) {
            Reply reply = call("POST", fronts.get(i % fronts.size()), path, body, 3_000).join();
            if (reply.status() / 100 == 2) {
                return true;
            }
            Thread.sleep(1_000);
        }
        return false;
    }

    static String state(Reply reply) {
        return reply.status() == 200 ? (String) Json.object(reply.body()).get("State") : "";
    }

    static String id(long number) {
        return String.format("%016x", number * 0x9E3779B97F4A7C15L);
    }
}
