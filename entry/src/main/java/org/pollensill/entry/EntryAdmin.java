package org.pollensill.entry;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.pollensill.contract.PoolLoad;
import org.pollensill.runtime.admin.AdminServer;
import org.pollensill.runtime.admin.Operator;
import org.pollensill.runtime.admin.Right;
import org.pollensill.runtime.boot.BootFile;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Errors;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerLink;

/** Admin endpoints of the entry daemon: {@code /status} and {@code /requests/<id>}. */
final class EntryAdmin {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final BootFile boot;
    private final LocalPools pools;
    private final PeerHub hub;
    private final RequestTraces traces;
    private final Supplier<List<String>> degradations;

    EntryAdmin(
            BootFile boot, LocalPools pools, PeerHub hub, RequestTraces traces, Supplier<List<String>> degradations) {
        this.boot = Objects.requireNonNull(boot, "boot is null");
        this.pools = Objects.requireNonNull(pools, "pools is null");
        this.hub = Objects.requireNonNull(hub, "hub is null");
        this.traces = Objects.requireNonNull(traces, "traces is null");
        this.degradations = Objects.requireNonNull(degradations, "degradations is null");
    }

    void addRoutes(AdminServer admin) {
        admin.route("GET", "/status", Right.READ, this::status);
        admin.route("GET", "/requests", Right.READ, this::request);
    }

    private void status(Operator operator, Request request, Responder responder) {
        ObjectNode root = MAPPER.createObjectNode()
                .put("role", "entry")
                .put("host", boot.host())
                .put("region", boot.region())
                .put("zone", boot.zone());
        ArrayNode peers = root.putArray("peers");
        for (PeerLink link : hub.links()) {
            peers.addObject()
                    .put("host", link.peer().host())
                    .put("role", link.peer().role())
                    .put("zone", link.peer().zone())
                    .put("address", link.peer().address());
        }
        ArrayNode services = root.putArray("services");
        pools.loads().forEach(load -> addService(services.addObject(), load));
        ArrayNode upstreams = root.putArray("upstreams");
        pools.upstreams()
                .forEach(upstream -> upstreams
                        .addObject()
                        .put("name", upstream.name())
                        .put("service", upstream.service())
                        .put("allowance", upstream.allowance().name().toLowerCase(Locale.ROOT))
                        .put("listed", upstream.hostState().name().toLowerCase(Locale.ROOT)));
        ArrayNode degraded = root.putArray("degraded");
        degradations.get().forEach(degraded::add);
        responder.answer(Answer.json(200, root.toString()));
    }

    private static void addService(ObjectNode node, PoolLoad load) {
        node.put("service", load.service()).put("totalSlots", load.totalSlots()).put("freeSlots", load.freeSlots());
        ArrayNode kinds = node.putArray("kinds");
        for (PoolLoad.KindLoad kind : load.kinds()) {
            kinds.addObject()
                    .put("kind", kind.kind())
                    .put("queued", kind.queued())
                    .put("running", kind.running())
                    .put("queueWaitMs", kind.queueWaitMs());
        }
    }

    private void request(Operator operator, Request request, Responder responder) {
        String requestId = request.path().substring(request.path().lastIndexOf('/') + 1);
        Optional<RequestTraces.Trace> record = traces.find(requestId);
        if (record.isEmpty()) {
            responder.answer(Errors.answer(404, "unknown-request", "this host has no record of it", requestId));
            return;
        }
        ObjectNode root = MAPPER.createObjectNode()
                .put("requestId", requestId)
                .put("host", boot.host())
                .put("service", record.get().service())
                .put("kind", record.get().kind())
                .put("caller", record.get().caller())
                .put("idempotent", record.get().idempotent());
        ArrayNode steps = root.putArray("steps");
        for (RequestTraces.Step step : record.get().steps()) {
            steps.addObject().put("atMs", step.atMs()).put("step", step.step()).put("detail", step.detail());
        }
        responder.answer(Answer.json(200, root.toString()));
    }
}
