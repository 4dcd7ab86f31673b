package org.pollensill.runtime.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollensill.platform.Host;
import org.pollensill.platform.HostList;
import org.pollensill.platform.PlatformException.Effect;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.Request;

/** HTTP client of the host list. Entries with an unknown role or state are omitted. */
public final class HttpHostList implements HostList {

    private final PlatformCalls calls;

    /**
     * Creates the client of a host list.
     *
     * @param client the HTTP client
     * @param address the list's address
     */
    public HttpHostList(HttpClient client, InetSocketAddress address) {
        calls = new PlatformCalls(
                Objects.requireNonNull(client, "client is null"), Objects.requireNonNull(address, "address is null"));
    }

    @Override
    public CompletableFuture<List<Host>> hosts() {
        return calls.send(Request.get("/hosts"), Effect.NONE)
                .thenCompose(answer -> answer.status() == 200
                        ? CompletableFuture.completedFuture(parse(answer))
                        : calls.failure(answer, Effect.NONE));
    }

    private static List<Host> parse(Answer answer) {
        List<Host> hosts = new ArrayList<>();
        for (JsonNode node : Json.parse(answer.body()).path("hosts")) {
            Optional<Host.Role> role =
                    parseConstant(Host.Role.values(), node.path("role").asText());
            Optional<Host.State> state =
                    parseConstant(Host.State.values(), node.path("state").asText());
            if (role.isPresent() && state.isPresent()) {
                hosts.add(host(node, role.get(), state.get()));
            }
        }
        return hosts;
    }

    private static Host host(JsonNode node, Host.Role role, Host.State state) {
        return new Host(
                node.path("name").asText(),
                node.path("address").asText(),
                role,
                node.path("service").asText(),
                node.path("region").asText(),
                node.path("zone").asText(),
                node.path("rack").asText(),
                state,
                node.path("processorsMillicores").asInt(),
                node.path("memoryBytes").asLong(),
                node.path("accelerators").asInt(),
                node.path("slots").asInt(),
                node.path("connections").asInt());
    }

    private static <E extends Enum<E>> Optional<E> parseConstant(E[] constants, String name) {
        for (E constant : constants) {
            if (constant.name().toLowerCase(Locale.ROOT).equals(name)) {
                return Optional.of(constant);
            }
        }
        return Optional.empty();
    }
}
