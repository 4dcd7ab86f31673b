package org.pollensill.cli.job;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.channel.EventLoopGroup;
import org.pollensill.cli.ExitCode;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.ClientLimits;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.HttpException;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.EventLoops;

/** A client for schedulers: tries them in order and follows a redirect to the scheduler that owns the job. */
final class SchedulerClient implements AutoCloseable {

    static final ObjectMapper MAPPER = new ObjectMapper();

    private static final long CALL_TIMEOUT_MS = 15_000;
    private static final int STATUS_MISDIRECTED_REQUEST = 421;

    private final CallOptions options;
    private final EventLoopGroup loops = EventLoops.of(1);
    private final HttpClient client = HttpClient.of(loops, ClientLimits.PLATFORM);

    SchedulerClient(CallOptions options) {
        this.options = options;
    }

    /** Sends a request to the first scheduler that responds; if that one names another owner, resends it there. */
    JsonNode call(String method, String uri, byte[] body) throws CallException {
        CallException lastFailure = new CallException(ExitCode.UNAVAILABLE, "no scheduler responded");
        for (InetSocketAddress server : options.servers()) {
            try {
                Answer answer = send(server, method, uri, body);
                Optional<String> owner = answer.headers().get("Pollensill-Owner");
                if (answer.status() == STATUS_MISDIRECTED_REQUEST && owner.isPresent()) {
                    answer = send(Addresses.parse(owner.get()), method, uri, body);
                }
                return read(answer);
            } catch (AddressException e) {
                lastFailure = new CallException(ExitCode.UNAVAILABLE, e.getMessage());
            } catch (CallException e) {
                if (e.exitCode() != ExitCode.UNAVAILABLE) {
                    throw e;
                }
                lastFailure = e;
            }
        }
        throw lastFailure;
    }

    /** Sends a GET request to the given scheduler only. */
    JsonNode getFrom(InetSocketAddress server, String uri) throws CallException {
        return read(send(server, "GET", uri, new byte[0]));
    }

    private Answer send(InetSocketAddress server, String method, String uri, byte[] body) throws CallException {
        Headers headers = Headers.of("Content-Type", "application/json");
        if (!options.token().isEmpty()) {
            headers = headers.with("Authorization", "Bearer " + options.token());
        }
        try {
            return client.send(server, new Request(method, uri, headers, body), CALL_TIMEOUT_MS)
                    .get();
        } catch (ExecutionException e) {
            boolean maybeSent = !(e.getCause() instanceof HttpException http) || http.sent();
            boolean modifying = !method.equals("GET");
            int exitCode = maybeSent && modifying ? ExitCode.UNKNOWN : ExitCode.UNAVAILABLE;
            throw new CallException(exitCode, String.valueOf(e.getCause().getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CallException(ExitCode.UNKNOWN, "interrupted while waiting for a scheduler");
        }
    }

    private static JsonNode read(Answer answer) throws CallException {
        JsonNode body = parse(answer);
        if (answer.status() / 100 == 2) {
            return body;
        }
        String message = body.path("error").path("message").asText("status " + answer.status());
        throw new CallException(exitCode(answer.status()), message);
    }

    private static int exitCode(int status) {
        return switch (status) {
            case 409 -> ExitCode.CONFLICT;
            case 503, STATUS_MISDIRECTED_REQUEST -> ExitCode.UNAVAILABLE;
            case 500, 502, 504 -> ExitCode.UNKNOWN;
            default -> ExitCode.REFUSED;
        };
    }

    private static JsonNode parse(Answer answer) {
        try {
            return MAPPER.readTree(answer.body());
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    @Override
    public void close() {
        client.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
