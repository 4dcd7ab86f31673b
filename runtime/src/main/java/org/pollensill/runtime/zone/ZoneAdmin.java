package org.pollensill.runtime.zone;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.pollensill.runtime.admin.AdminServer;
import org.pollensill.runtime.admin.Operator;
import org.pollensill.runtime.admin.Right;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Errors;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;
import org.pollensill.zone.MemberId;
import org.pollensill.zone.Slice;
import org.pollensill.zone.SliceRight;
import org.pollensill.zone.ZoneView;

/** Operators' calls about the zone view: {@code GET /zone} and {@code POST /hosts/<name>/gone}. */
public final class ZoneAdmin {

    private static final EventLog LOG = EventLog.of(ZoneAdmin.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HOSTS_PREFIX = "/hosts/";
    private static final String GONE_SUFFIX = "/gone";

    private final ZoneAgent agent;

    ZoneAdmin(ZoneAgent agent) {
        this.agent = Objects.requireNonNull(agent, "agent is null");
    }

    /**
     * Registers the calls with a server.
     *
     * @param server the server
     * @param agent the zone agent of this process
     */
    public static void register(AdminServer server, ZoneAgent agent) {
        ZoneAdmin admin = new ZoneAdmin(agent);
        server.route("GET", "/zone", Right.READ, (operator, request, responder) -> responder.answer(admin.status()));
        server.route("POST", "/hosts", Right.CHANGE, admin::declareGone);
    }

    Answer status() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("host", agent.self().name()).put("confirmed", agent.isConfirmed());
        Optional<ZoneView> view = agent.view();
        root.put("epoch", view.map(ZoneView::epoch).orElse(0L));
        if (view.isEmpty()) {
            return Answer.json(200, root.toString());
        }
        Map<String, Integer> ownedSlices = new TreeMap<>();
        Map<String, Integer> formerSlices = new TreeMap<>();
        for (Slice slice : view.get().slices()) {
            ownedSlices.merge(slice.owner().name(), 1, Integer::sum);
            slice.formerOwners()
                    .forEach(entry -> formerSlices.merge(entry.member().name(), 1, Integer::sum));
        }
        ArrayNode members = root.putArray("members");
        for (MemberId member : view.get().members()) {
            members.addObject()
                    .put("host", member.name())
                    .put("address", member.address())
                    .put("slices", ownedSlices.getOrDefault(member.name(), 0));
        }
        ArrayNode formers = root.putArray("formerOwners");
        formerSlices.forEach(
                (host, slices) -> formers.addObject().put("host", host).put("slices", slices));
        addShares(root.putObject("sharesHere"), view.get().slices().size());
        return Answer.json(200, root.toString());
    }

    private void addShares(ObjectNode shares, int slices) {
        Map<String, Integer> counts = new TreeMap<>();
        long nowNs = System.nanoTime();
        for (int slice = 0; slice < slices; slice++) {
            SliceRight right = agent.right(slice, nowNs);
            if (right.isOwner()) {
                counts.merge(right.share().name().toLowerCase(Locale.ROOT), 1, Integer::sum);
            }
        }
        counts.forEach(shares::put);
    }

    void declareGone(Operator operator, Request request, Responder responder) {
        String path = request.path();
        if (!path.startsWith(HOSTS_PREFIX)
                || !path.endsWith(GONE_SUFFIX)
                || path.length() <= HOSTS_PREFIX.length() + GONE_SUFFIX.length()) {
            responder.answer(Errors.answer(404, "unknown-path", "no operators' call at " + path, ""));
            return;
        }
        String host = URLDecoder.decode(
                path.substring(HOSTS_PREFIX.length(), path.length() - GONE_SUFFIX.length()), StandardCharsets.UTF_8);
        Optional<ZoneView> view = agent.view();
        boolean isInView = view.isPresent()
                && view.get().processes().stream()
                        .anyMatch(process -> process.name().equals(host) && !process.equals(agent.self()));
        if (!isInView) {
            responder.answer(Errors.answer(404, "unknown-host", "the zone view contains no other host " + host, ""));
            return;
        }
        LOG.log(ZoneEvent.DECLARED_GONE, "host", host, "operator", operator.name());
        agent.declareGone(host);
        responder.answer(Answer.json(
                200,
                MAPPER.createObjectNode()
                        .put("host", host)
                        .put("epoch", view.get().epoch())
                        .toString()));
    }
}
