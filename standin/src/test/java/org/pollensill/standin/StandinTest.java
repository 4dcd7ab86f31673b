package org.pollensill.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against counters that miss a violated guarantee and against injected faults that have no effect. */
@Timeout(60)
class StandinTest {

    private static final String UPSTREAM = "z-s-0";

    private final HttpClient client = HttpClient.newHttpClient();
    private Standin standin;

    @BeforeEach
    void start() throws IOException {
        StandinConfig.Zone zone = new StandinConfig.Zone("r", "z", Map.of("s", 1), 2, 0, 4000, 1 << 30, 0);
        standin = Standin.start(new StandinConfig(
                0,
                1,
                0,
                0,
                null,
                List.of(zone),
                Map.of(
                        "once", new StandinConfig.Kind("constant", 1, 0, 100, false, 0),
                        "many", new StandinConfig.Kind("constant", 1, 0, 100, true, 0)),
                List.of()));
    }

    @AfterEach
    void stop() {
        standin.close();
    }

    private HttpRequest.Builder request(String port, String path, String body) {
        return HttpRequest.newBuilder(URI.create("http://" + standin.address(port) + path))
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private HttpResponse<String> post(String port, String path, String body) throws IOException, InterruptedException {
        return client.send(request(port, path, body).build(), HttpResponse.BodyHandlers.ofString());
    }

    private JsonNode json(String port, String path, String body) throws IOException, InterruptedException {
        return Exchange.JSON.readTree(post(port, path, body).body());
    }

    private long counter(String name) {
        return ((Number) standin.counters().get(name)).longValue();
    }

    @Nested
    class Store {

        private static final String COMMIT = "{\"commitId\":\"c\",\"conditions\":[{\"key\":\"a\",\"version\":0}],"
                + "\"writes\":[{\"key\":\"a\",\"value\":\"MQ==\"}]}";

        @Test
        void shouldKeepTheWriteWhenItsAnswerIsLost() throws Exception {
            post("admin", "/faults", "{\"fault\":\"lost-answer\",\"prefix\":\"a\"}");
            assertThrows(IOException.class, () -> post("platform", "/tables/commit", COMMIT));
            assertEquals(
                    1,
                    json("platform", "/tables/read", "{\"keys\":[\"a\"]}")
                            .path("rows")
                            .size());
            assertEquals(409, post("platform", "/tables/commit", COMMIT).statusCode());
        }

        @Test
        void shouldWriteNothingWhenItIsDown() throws Exception {
            post("admin", "/faults", "{\"fault\":\"store-down\"}");
            assertEquals(503, post("platform", "/tables/commit", COMMIT).statusCode());
            post("admin", "/faults", "{\"fault\":\"clear\"}");
            assertEquals(200, post("platform", "/tables/commit", COMMIT).statusCode());
        }
    }

    @Nested
    class Upstreams {

        private HttpRequest work(String kind, String work) {
            return request(UPSTREAM, "/s/" + kind + "/run?work=" + work, "")
                    .header("Pollensill-Request-Id", "id-" + work)
                    .build();
        }

        private HttpResponse<String> run(String kind, String work) throws IOException, InterruptedException {
            return client.send(work(kind, work), HttpResponse.BodyHandlers.ofString());
        }

        @Test
        void shouldCountOnlyNonIdempotentRequestsThatRanTwice() throws Exception {
            run("many", "m");
            run("many", "m");
            assertEquals(0, counter("ranTwice"));
            run("once", "o");
            run("once", "o");
            assertEquals(1, counter("ranTwice"));
        }

        @Test
        void shouldCountAKeyThatRanTwiceUnderTwoRequestIdentities() throws Exception {
            for (String id : List.of("a", "b")) {
                HttpRequest keyed = request(UPSTREAM, "/s/once/run", "")
                        .header("Pollensill-Request-Id", id)
                        .header("Idempotency-Key", "k")
                        .build();
                client.send(keyed, HttpResponse.BodyHandlers.ofString());
            }
            assertEquals(1, counter("ranTwice"));
        }

        @Test
        void shouldCountRequestsBeyondTheSlotsWhenAnswersAreLate() throws Exception {
            post("admin", "/faults", "{\"fault\":\"upstream-late\",\"target\":\"*\",\"delayMs\":3600000,\"count\":99}");
            List<CompletableFuture<HttpResponse<String>>> delayed = new ArrayList<>();
            for (int i = 0; i < Upstream.SLOTS + 2; i++) {
                delayed.add(client.sendAsync(work("many", "m" + i), HttpResponse.BodyHandlers.ofString()));
            }
            while (counter("slotOverruns") < 2) {
                assertFalse(Thread.currentThread().isInterrupted(), "requests did not arrive");
                Thread.onSpinWait();
            }
            assertEquals(2, counter("slotOverruns"));
            delayed.forEach(call -> call.cancel(true));
        }

        @Test
        void shouldCountNotRunReportsThatAreWrong() throws Exception {
            run("once", "ran");
            JsonNode answer = json("admin", "/not-run", "{\"identities\":[\"ran\",\"id-ran\",\"never\"]}");
            assertEquals(2, answer.path("wrong").asInt());
            assertEquals(2, counter("wrongNotRun"));
        }

        @Test
        void shouldAnswerWithTheIdentityOfAnotherRequestWhenMismatched() throws Exception {
            run("many", "first");
            post("admin", "/faults", "{\"fault\":\"upstream-mismatch\",\"target\":\"" + UPSTREAM + "\"}");
            assertEquals(
                    "id-first",
                    run("many", "second")
                            .headers()
                            .firstValue("Pollensill-Request-Id")
                            .orElseThrow());
            assertThrows(IOException.class, () -> {
                post("admin", "/faults", "{\"fault\":\"upstream-break\",\"target\":\"*\"}");
                run("many", "third");
            });
        }

        @Test
        void shouldRefuseAndBeListedAsLeavingWhenItLeaves() throws Exception {
            post("admin", "/faults", "{\"fault\":\"upstream-leave\",\"target\":\"" + UPSTREAM + "\"}");
            HttpResponse<String> refused = run("once", "o");
            assertEquals(503, refused.statusCode());
            assertEquals(
                    "true", refused.headers().firstValue("Upstream-Refused").orElseThrow());
            assertEquals(
                    0,
                    json("admin", "/not-run", "{\"identities\":[\"o\"]}")
                            .path("wrong")
                            .asInt());
            String state = "";
            for (JsonNode host : json("platform", "/hosts", "").path("hosts")) {
                state = host.path("name").asText().equals(UPSTREAM)
                        ? host.path("state").asText()
                        : state;
            }
            assertEquals("leaving", state);
        }
    }

    @Nested
    class Workers {

        private String start(int attempt, int epoch, long startBefore, String extraFields) {
            return "{\"task\":\"t\",\"attempt\":" + attempt + ",\"epoch\":" + epoch + ",\"startBeforeWorkerClockMs\":"
                    + startBefore + ",\"leaseUntilWorkerClockMs\":" + Long.MAX_VALUE
                    + ",\"durationMs\":3600000,\"processorsMillicores\":3000" + extraFields + "}";
        }

        private String startAt(String worker, String body) throws IOException, InterruptedException {
            return json(worker, "/start", body).path("result").asText();
        }

        @Test
        void shouldRefuseStartsThatAreLateStaleOrTooLarge() throws Exception {
            assertEquals("late", startAt("z-worker-0", start(1, 5, 0, "")));
            assertEquals("started", startAt("z-worker-0", start(2, 5, Long.MAX_VALUE, "")));
            assertEquals("already-running", startAt("z-worker-0", start(2, 5, Long.MAX_VALUE, "")));
            assertEquals("stale-attempt", startAt("z-worker-0", start(1, 5, Long.MAX_VALUE, "")));
            assertEquals("stale-epoch", startAt("z-worker-0", start(3, 4, Long.MAX_VALUE, "")));
            String other = start(1, 5, Long.MAX_VALUE, "").replace("\"t\"", "\"u\"");
            assertEquals("full", startAt("z-worker-0", other));
        }

        @Test
        void shouldCountATaskThatRunsAtTwoWorkersButNotOneWhoseLeaseLapsed() throws Exception {
            startAt("z-worker-0", start(1, 5, Long.MAX_VALUE, ""));
            post("admin", "/faults", "{\"fault\":\"worker-lapse\",\"target\":\"z-worker-0\"}");
            startAt("z-worker-1", start(2, 5, Long.MAX_VALUE, ""));
            assertEquals(0, counter("tasksRunningTwice"));
            startAt("z-worker-0", start(3, 5, Long.MAX_VALUE, ""));
            assertEquals(1, counter("tasksRunningTwice"));
        }

        @Test
        void shouldCountACheckpointThatTwoLiveAttemptsResumeFrom() throws Exception {
            startAt("z-worker-0", start(1, 5, Long.MAX_VALUE, ""));
            post("z-worker-0", "/checkpoint", "{\"epoch\":5,\"task\":\"t\",\"attempt\":1,\"checkpointId\":\"c\"}");
            startAt("z-worker-0", start(2, 5, Long.MAX_VALUE, ",\"resumeFrom\":\"c\""));
            assertEquals(0, counter("resumedTwice"));
            startAt("z-worker-1", start(3, 5, Long.MAX_VALUE, ",\"resumeFrom\":\"c\""));
            assertEquals(1, counter("resumedTwice"));
        }

        @Test
        void shouldCountExpectedTasksThatNoWorkerHasAsLost() throws Exception {
            startAt("z-worker-0", start(1, 5, Long.MAX_VALUE, ""));
            post("admin", "/expect-tasks", "{\"tasks\":[\"t\",\"v\"]}");
            assertEquals(1, counter("tasksLost"));
        }
    }
}
