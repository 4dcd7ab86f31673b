package org.pollensill.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.json.JsonMapper;

/** Sends requests reported as not run to the stand-in, which compares them with those its upstreams accepted. */
final class NotRunReporter {

    private static final int BATCH_SIZE = 10_000;
    private static final JsonMapper JSON = new JsonMapper();

    private final String standinAdmin;

    NotRunReporter(String standinAdmin) {
        this.standinAdmin = Objects.requireNonNull(standinAdmin, "standinAdmin is null");
    }

    /** Returns how many of the identities had been accepted by an upstream. */
    long report(List<String> identities) throws IOException, InterruptedException {
        HttpClient client = HttpClient.newHttpClient();
        long wrong = 0;
        for (int from = 0; from < identities.size(); from += BATCH_SIZE) {
            List<String> batch = identities.subList(from, Math.min(identities.size(), from + BATCH_SIZE));
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + standinAdmin + "/not-run"))
                    .POST(HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(Map.of("identities", batch))))
                    .build();
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() != 200) {
                throw new IOException("stand-in at " + standinAdmin + " answered " + response.statusCode());
            }
            wrong += JSON.readTree(response.body()).path("wrong").asLong();
        }
        return wrong;
    }
}
