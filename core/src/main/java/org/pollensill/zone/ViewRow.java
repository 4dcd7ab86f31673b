package org.pollensill.zone;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Converts a view to and from the JSON text of its row. Slices refer to processes by their position in the list of
 * members, followed by the list of former owners that are not members.
 */
public final class ViewRow {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ViewRow() {}

    /**
     * Returns the key of the row.
     *
     * @param role the role, {@code entry} or {@code scheduler}
     * @param zone the availability zone
     * @return the key
     */
    public static String key(String role, String zone) {
        return "view/" + role + "/" + zone;
    }

    /**
     * Serialises a view.
     *
     * @param view the view
     * @return the row's text
     */
    public static String write(ZoneView view) {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        Map<MemberId, Integer> positions = new LinkedHashMap<>();
        ObjectNode root = nodes.objectNode();
        root.put("epoch", view.epoch());
        root.put("commitId", view.commitId());
        ArrayNode members = root.putArray("members");
        for (MemberId member : view.members()) {
            positions.put(member, positions.size());
            members.add(member(nodes, member));
        }
        ArrayNode nonMembers = root.putArray("formers");
        for (MemberId formerOwner : view.formerOwners()) {
            if (!positions.containsKey(formerOwner)) {
                positions.put(formerOwner, positions.size());
                nonMembers.add(member(nodes, formerOwner));
            }
        }
        ArrayNode slices = root.putArray("slices");
        for (Slice slice : view.slices()) {
            ObjectNode node = slices.addObject();
            node.put("owner", positions.get(slice.owner()));
            node.put("since", slice.sinceEpoch());
            if (slice.formerOwners().isEmpty()) {
                continue;
            }
            ArrayNode formerOwners = node.putArray("formers");
            for (FormerOwner formerOwner : slice.formerOwners()) {
                ObjectNode entry = formerOwners.addObject();
                entry.put("member", positions.get(formerOwner.member()));
                entry.put("lost", formerOwner.lostEpoch());
                if (formerOwner.mayUseFullLimit()) {
                    entry.put("full", true);
                }
            }
        }
        return root.toString();
    }

    private static ObjectNode member(JsonNodeFactory nodes, MemberId member) {
        return nodes.objectNode()
                .put("name", member.name())
                .put("address", member.address())
                .put("incarnation", member.incarnation());
    }

    /**
     * Parses a view.
     *
     * @param text the row's text
     * @return the view
     * @throws ViewRowException if the text is not a valid view
     */
    public static ZoneView read(String text) throws ViewRowException {
        try {
            JsonNode root = MAPPER.readTree(text);
            List<MemberId> members = members(root.required("members"));
            List<MemberId> processes = new ArrayList<>(members);
            processes.addAll(members(root.required("formers")));
            List<Slice> slices = new ArrayList<>();
            for (JsonNode node : root.required("slices")) {
                List<FormerOwner> formerOwners = new ArrayList<>();
                for (JsonNode entry : node.path("formers")) {
                    formerOwners.add(new FormerOwner(
                            processes.get(entry.required("member").intValue()),
                            entry.required("lost").longValue(),
                            entry.path("full").booleanValue()));
                }
                slices.add(new Slice(
                        processes.get(node.required("owner").intValue()),
                        node.required("since").longValue(),
                        formerOwners));
            }
            return new ZoneView(
                    root.required("epoch").longValue(),
                    root.required("commitId").textValue(),
                    members,
                    slices);
        } catch (JsonProcessingException
                | IllegalArgumentException
                | IndexOutOfBoundsException
                | NullPointerException e) {
            throw new ViewRowException(text, e);
        }
    }

    private static List<MemberId> members(JsonNode nodes) {
        List<MemberId> members = new ArrayList<>();
        for (JsonNode node : nodes) {
            members.add(new MemberId(
                    node.required("name").textValue(),
                    node.required("address").textValue(),
                    node.required("incarnation").textValue()));
        }
        return members;
    }
}
