package org.pollensill.settings;

import java.time.DayOfWeek;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The layers of settings that apply at one place, from least to most specific. Within a level, active shifts override
 * the values of the level itself.
 *
 * @param layers the layers
 */
record Layers(List<Layer> layers) {

    /**
     * Part of the tree that applies at a place.
     *
     * @param path its path in the tree
     * @param shift whether it belongs to a shift
     * @param branch its values
     */
    record Layer(String path, boolean shift, Node.Branch branch) {

        /** Creates a layer. */
        Layer {
            Objects.requireNonNull(path, "path is null");
            Objects.requireNonNull(branch, "branch is null");
        }
    }

    /**
     * A value with the layer that set it.
     *
     * @param value the value
     * @param layer the layer
     */
    record ResolvedValue(Object value, Layer layer) {

        /** Creates a result. */
        ResolvedValue {
            Objects.requireNonNull(value, "value is null");
            Objects.requireNonNull(layer, "layer is null");
        }
    }

    /** Creates the layers. */
    Layers {
        layers = List.copyOf(Objects.requireNonNull(layers, "layers is null"));
    }

    /** Collects the layers of a place; {@code active} selects the shifts to include. */
    static Layers collect(Node.Branch root, Place place, Predicate<String> active) {
        List<Layer> layers = new ArrayList<>();
        for (SettingsPath path : place.levels()) {
            Optional<Node.Branch> level =
                    root.at(path).filter(Node.Branch.class::isInstance).map(Node.Branch.class::cast);
            if (level.isEmpty()) {
                continue;
            }
            layers.add(new Layer(path.toString(), false, level.get()));
            Optional<Node.Branch> shifts = level.get().branch("shifts");
            for (int i = 0; shifts.isPresent() && i < shifts.get().size(); i++) {
                String name = shifts.get().name(i);
                Optional<Node.Branch> shift = shifts.get().branch(name);
                if (shift.isPresent() && active.test(name)) {
                    layers.add(new Layer(path + ".shifts." + name, true, shift.get()));
                }
            }
        }
        return new Layers(layers);
    }

    /** Finds the most specific value of a path; skips raw JSON that is unknown to this version. */
    Optional<ResolvedValue> find(String... segments) {
        SettingsPath path = new SettingsPath(Arrays.asList(segments));
        for (int i = layers.size() - 1; i >= 0; i--) {
            Optional<Node> node = layers.get(i).branch().at(path);
            if (node.isPresent() && node.get() instanceof Node.Leaf) {
                Object value = ((Node.Leaf) node.get()).value();
                if (!(value instanceof com.fasterxml.jackson.databind.JsonNode)) {
                    return Optional.of(new ResolvedValue(value, layers.get(i)));
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the child names of a path in all layers. */
    Set<String> names(String... segments) {
        SettingsPath path = new SettingsPath(Arrays.asList(segments));
        Set<String> names = new TreeSet<>();
        for (Layer layer : layers) {
            Optional<Node> node = layer.branch().at(path);
            if (node.isPresent() && node.get() instanceof Node.Branch) {
                Node.Branch branch = (Node.Branch) node.get();
                for (int i = 0; i < branch.size(); i++) {
                    names.add(branch.name(i));
                }
            }
        }
        return names;
    }

    /** Returns the time zone, which shifts cannot override. */
    ZoneId timeZone() {
        return find("timeZone")
                .map(resolved -> ZoneId.of((String) resolved.value()))
                .orElse(ZoneId.of("UTC"));
    }

    /** Returns the shifts that have a start and an end, with days and times inherited from less specific levels. */
    Map<String, Shift> shifts() {
        Map<String, Shift> shifts = new LinkedHashMap<>();
        for (String name : names("shifts")) {
            Optional<ResolvedValue> from = find("shifts", name, "from");
            Optional<ResolvedValue> to = find("shifts", name, "to");
            if (from.isPresent() && to.isPresent()) {
                shifts.put(
                        name,
                        new Shift(
                                name,
                                days(name),
                                LocalTime.parse((String) from.get().value()),
                                LocalTime.parse((String) to.get().value())));
            }
        }
        return shifts;
    }

    private Set<DayOfWeek> days(String shift) {
        Optional<ResolvedValue> resolved = find("shifts", shift, "days");
        if (resolved.isEmpty()) {
            return EnumSet.allOf(DayOfWeek.class);
        }
        Set<DayOfWeek> days = EnumSet.noneOf(DayOfWeek.class);
        for (Object day : (List<?>) resolved.get().value()) {
            days.add(ValueType.day((String) day));
        }
        return days;
    }
}
