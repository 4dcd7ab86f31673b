package org.pollensill.settings;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/** Immutable tree of all settings at one revision. */
public final class SettingsTree {

    private static final SettingsTree EMPTY = new SettingsTree(Node.Branch.EMPTY);

    private final Node.Branch root;

    private SettingsTree(Node.Branch root) {
        this.root = root;
    }

    /**
     * A changed tree and the edits that undo the change.
     *
     * @param tree the tree after the change
     * @param undo edits that restore the tree before the change exactly
     */
    public record Applied(SettingsTree tree, List<Edit> undo) {

        /**
         * Creates a result.
         *
         * @throws NullPointerException if an argument is null
         */
        public Applied {
            Objects.requireNonNull(tree, "tree is null");
            undo = List.copyOf(Objects.requireNonNull(undo, "undo is null"));
        }
    }

    /**
     * Returns the tree without values, in which the built-in defaults apply everywhere.
     *
     * @return the empty tree
     */
    public static SettingsTree empty() {
        return EMPTY;
    }

    /**
     * Parses and validates a tree.
     *
     * @param text JSON, comments allowed
     * @return the tree
     * @throws InvalidSettingsException if the text is invalid; lists all problems
     */
    public static SettingsTree parse(String text) throws InvalidSettingsException {
        Objects.requireNonNull(text, "text is null");
        List<Problem> problems = new ArrayList<>();
        Optional<Node> node = SettingsJson.validate(
                SettingsJson.parse("", text), SettingsCatalogue.schema(), SettingsPath.root(), problems);
        Node.Branch root = (Node.Branch) node.orElse(Node.Branch.EMPTY);
        ConsistencyCheck.checkAll(root, problems);
        throwIfInvalid(problems);
        return new SettingsTree(root);
    }

    /**
     * Reads a committed tree, possibly of a newer version of the program, without validation. Keys and values that are
     * unknown to this version are kept and have no effect.
     *
     * @param text JSON of the whole tree
     * @return the tree
     * @throws InvalidSettingsException if the text is not a JSON object
     */
    public static SettingsTree committed(String text) throws InvalidSettingsException {
        Node node =
                SettingsJson.convertLeniently(SettingsJson.parse("", text), Optional.of(SettingsCatalogue.schema()));
        if (!(node instanceof Node.Branch)) {
            throw new InvalidSettingsException(List.of(Problem.of("", text, "expected an object")));
        }
        return new SettingsTree((Node.Branch) node);
    }

    /**
     * Applies edits in sequence and validates the parts that they affect.
     *
     * @param edits the edits
     * @return the changed tree and the edits that undo the change
     * @throws InvalidSettingsException if an edit is invalid; lists all problems
     */
    public Applied apply(List<Edit> edits) throws InvalidSettingsException {
        Objects.requireNonNull(edits, "edits is null");
        List<Problem> problems = new ArrayList<>();
        List<Edit> undo = new ArrayList<>();
        Node.Branch changed = root;
        for (Edit edit : edits) {
            Optional<Schema> schema = schema(edit, problems);
            if (schema.isEmpty()) {
                continue;
            }
            Optional<Node> value = Optional.empty();
            if (edit.value().isPresent()) {
                JsonNode json =
                        SettingsJson.parse(edit.path().toString(), edit.value().get());
                value = SettingsJson.validate(json, schema.get(), edit.path(), problems);
                if (value.isEmpty()) {
                    continue;
                }
            } else if (changed.at(edit.path()).isEmpty()) {
                problems.add(Problem.of(edit.path().toString(), "nothing", "there is nothing to remove"));
                continue;
            }
            undo.add(inverse(changed, edit.path()));
            changed = replace(changed, edit.path(), value);
        }
        ConsistencyCheck.checkEdits(root, changed, edits, problems);
        throwIfInvalid(problems);
        Collections.reverse(undo);
        return new Applied(new SettingsTree(changed), undo);
    }

    /**
     * Applies committed edits without validation; see {@link #committed(String)}.
     *
     * @param edits the edits
     * @return the changed tree
     * @throws InvalidSettingsException if a value is not JSON
     */
    public SettingsTree applyCommitted(List<Edit> edits) throws InvalidSettingsException {
        Objects.requireNonNull(edits, "edits is null");
        Node.Branch changed = root;
        for (Edit edit : edits) {
            Optional<Node> value = Optional.empty();
            if (edit.value().isPresent()) {
                JsonNode json =
                        SettingsJson.parse(edit.path().toString(), edit.value().get());
                value = Optional.of(SettingsJson.convertLeniently(json, schema(edit, new ArrayList<>())));
            }
            changed = replace(changed, edit.path(), value);
        }
        return new SettingsTree(changed);
    }

    /**
     * Returns the edits that turn this tree into another, one per different value.
     *
     * @param other the other tree
     * @return the edits
     */
    public List<Edit> diff(SettingsTree other) {
        Objects.requireNonNull(other, "other is null");
        List<Edit> edits = new ArrayList<>();
        diff(root, other.root, SettingsPath.root(), edits);
        return edits;
    }

    /**
     * Returns a part of the tree as JSON text.
     *
     * @param path the path, empty for the whole tree
     * @return the JSON, empty if the tree does not contain the path
     */
    public Optional<String> get(SettingsPath path) {
        return root.at(path).map(node -> SettingsJson.toJson(node).toString());
    }

    /**
     * Returns the whole tree as JSON text.
     *
     * @return the JSON without whitespace
     */
    public String toJson() {
        return SettingsJson.toJson(root).toString();
    }

    /**
     * Returns the regions and zones that the tree contains.
     *
     * @return the places, without the defaults
     */
    public List<Place> places() {
        return ConsistencyCheck.places(root).stream()
                .filter(place -> !place.region().isEmpty())
                .toList();
    }

    /**
     * Returns the effective values at a place and time.
     *
     * @param place the place; a region or zone that the tree does not contain has the values of the level above
     * @param nowMs wall-clock time, which determines the active shifts
     * @return the values
     */
    public Effective effective(Place place, long nowMs) {
        Objects.requireNonNull(place, "place is null");
        Layers withoutShifts = Layers.collect(root, place, shift -> false);
        Set<String> active = new HashSet<>();
        long validUntilMs = Long.MAX_VALUE;
        for (Map.Entry<String, Shift> shift : withoutShifts.shifts().entrySet()) {
            if (shift.getValue().isActive(withoutShifts.timeZone(), nowMs)) {
                active.add(shift.getKey());
            }
            validUntilMs = Math.min(validUntilMs, shift.getValue().nextChangeMs(withoutShifts.timeZone(), nowMs));
        }
        Layers layers = active.isEmpty() ? withoutShifts : Layers.collect(root, place, active::contains);
        return new Effective(place, layers, active, validUntilMs);
    }

    private static void throwIfInvalid(List<Problem> problems) throws InvalidSettingsException {
        if (!problems.isEmpty()) {
            throw new InvalidSettingsException(problems);
        }
    }

    private static Optional<Schema> schema(Edit edit, List<Problem> problems) {
        Schema schema = SettingsCatalogue.schema();
        SettingsPath prefix = SettingsPath.root();
        for (String segment : edit.path().segments()) {
            Optional<Schema> child = SettingsJson.childSchema(
                    schema, segment, prefix, edit.value().orElse("(removal)"), problems);
            if (child.isEmpty()) {
                return Optional.empty();
            }
            schema = child.get();
            prefix = prefix.child(segment);
        }
        return Optional.of(schema);
    }

    /** Returns the edit that restores the part at {@code path}. */
    private static Edit inverse(Node.Branch root, SettingsPath path) {
        Optional<Node> before = root.at(path);
        if (before.isPresent()) {
            return Edit.set(path, SettingsJson.toJson(before.get()).toString());
        }
        // Also removes the ancestors that the edit creates, or an empty service would remain.
        SettingsPath topmostCreated = path;
        for (int length = path.segments().size(); length > 0; length--) {
            SettingsPath ancestor = new SettingsPath(path.segments().subList(0, length));
            if (root.at(ancestor).isPresent()) {
                break;
            }
            topmostCreated = ancestor;
        }
        return Edit.remove(topmostCreated);
    }

    private static Node.Branch replace(Node.Branch root, SettingsPath path, Optional<Node> value) {
        if (path.segments().isEmpty()) {
            return value.filter(Node.Branch.class::isInstance)
                    .map(Node.Branch.class::cast)
                    .orElse(Node.Branch.EMPTY);
        }
        String name = path.segments().get(0).intern();
        SettingsPath rest =
                new SettingsPath(path.segments().subList(1, path.segments().size()));
        if (rest.segments().isEmpty()) {
            return value.isPresent() ? root.with(name, value.get()) : root.without(name);
        }
        Optional<Node.Branch> child = root.branch(name);
        if (child.isEmpty() && value.isEmpty()) {
            return root;
        }
        return root.with(name, replace(child.orElse(Node.Branch.EMPTY), rest, value));
    }

    private static void diff(Node from, Node to, SettingsPath path, List<Edit> edits) {
        if (from == to || from.equals(to)) {
            return;
        }
        if (!(from instanceof Node.Branch) || !(to instanceof Node.Branch)) {
            edits.add(Edit.set(path, SettingsJson.toJson(to).toString()));
            return;
        }
        Node.Branch before = (Node.Branch) from;
        Node.Branch after = (Node.Branch) to;
        for (int i = 0; i < before.size(); i++) {
            if (after.get(before.name(i)).isEmpty()) {
                edits.add(Edit.remove(path.child(before.name(i))));
            }
        }
        for (int i = 0; i < after.size(); i++) {
            SettingsPath childPath = path.child(after.name(i));
            Optional<Node> previous = before.get(after.name(i));
            if (previous.isPresent()) {
                diff(previous.get(), after.child(i), childPath, edits);
            } else {
                edits.add(
                        Edit.set(childPath, SettingsJson.toJson(after.child(i)).toString()));
            }
        }
    }
}
