package org.pollensill.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds contradictions between values of different levels. Checks each place with each set of shifts that can be
 * active there at the same time; a combination of layers that several places share is checked once.
 */
final class ConsistencyCheck {

    /** Tolerates rounding errors in sums of shares. */
    private static final double SHARE_TOLERANCE = 1e-9;

    private final Node.Branch root;
    private final List<Problem> problems;
    private final Set<String> reportedKeys = new HashSet<>();
    private final Set<List<Object>> checkedParts = new HashSet<>();

    private ConsistencyCheck(Node.Branch root, List<Problem> problems) {
        this.root = root;
        this.problems = problems;
    }

    /** Checks the whole tree. */
    static void checkAll(Node.Branch root, List<Problem> problems) {
        new ConsistencyCheck(root, problems).check(Optional.empty());
    }

    /** Checks the services that edits can affect. */
    static void checkEdits(Node.Branch before, Node.Branch after, List<Edit> edits, List<Problem> problems) {
        Optional<Set<String>> services = Optional.of(new TreeSet<>());
        for (Edit edit : edits) {
            services = services.flatMap(affected -> affectedServices(before, after, edit.path(), affected));
        }
        new ConsistencyCheck(after, problems).check(services);
    }

    /** Adds the services that an edit can affect; empty if it can affect any service. */
    private static Optional<Set<String>> affectedServices(
            Node.Branch before, Node.Branch after, SettingsPath path, Set<String> affected) {
        List<String> segments = path.segments();
        int level = 1;
        if (!segments.isEmpty() && segments.get(0).equals("regions")) {
            level = segments.size() > 3 && segments.get(2).equals("zones") ? 4 : 2;
        }
        if (segments.size() <= level) {
            return Optional.empty();
        }
        String key = segments.get(level);
        if (key.equals("services")) {
            if (segments.size() == level + 1) {
                return Optional.empty();
            }
            affected.add(segments.get(level + 1));
        } else if (key.equals("zones")) {
            return Optional.empty();
        } else if (key.equals("shifts")) {
            if (segments.size() == level + 1) {
                return Optional.empty();
            }
            String shift = segments.get(level + 1);
            for (Place place : places(before)) {
                affected.addAll(Layers.collect(before, place, shift::equals).names("shifts", shift, "services"));
            }
            for (Place place : places(after)) {
                affected.addAll(Layers.collect(after, place, shift::equals).names("shifts", shift, "services"));
            }
        }
        return Optional.of(affected);
    }

    /** Returns the defaults and all regions and zones that the tree contains. */
    static List<Place> places(Node.Branch root) {
        List<Place> places = new ArrayList<>();
        places.add(new Place("", ""));
        Optional<Node.Branch> regions = root.branch("regions");
        for (int i = 0; regions.isPresent() && i < regions.get().size(); i++) {
            String region = regions.get().name(i);
            places.add(new Place(region, ""));
            Optional<Node.Branch> zones = regions.get().branch(region).flatMap(branch -> branch.branch("zones"));
            for (int j = 0; zones.isPresent() && j < zones.get().size(); j++) {
                places.add(new Place(region, zones.get().name(j)));
            }
        }
        return places;
    }

    private void check(Optional<Set<String>> affectedServices) {
        for (Place place : places(root)) {
            Layers plain = Layers.collect(root, place, shift -> false);
            checkShifts(place, plain);
            for (Set<String> active : concurrentShifts(plain.shifts())) {
                Layers layers = Layers.collect(root, place, active::contains);
                Effective effective = new Effective(place, layers, active, Long.MAX_VALUE);
                String at = place + (active.isEmpty() ? "" : " during " + String.join("+", new TreeSet<>(active)));
                checkBatch(at, layers, effective);
                checkOverlappingShifts(at, place, layers);
                for (String service : affectedServices.orElseGet(effective::services)) {
                    checkService(at, service, layers, effective);
                }
            }
        }
        checkLinks();
    }

    /** Returns the sets of shifts that are active together at some time of a week, including the empty set. */
    static Set<Set<String>> concurrentShifts(Map<String, Shift> shifts) {
        Set<Set<String>> sets = new LinkedHashSet<>();
        sets.add(Set.of());
        for (Shift starting : shifts.values()) {
            for (java.time.DayOfWeek day : starting.days()) {
                int minute = starting.beginMinute(day);
                Set<String> active = new TreeSet<>();
                for (Shift other : shifts.values()) {
                    if (other.isActiveAtMinute(minute)) {
                        active.add(other.name());
                    }
                }
                sets.add(active);
                // The set changes again when a shift ends.
                int end = (minute + starting.lengthMinutes()) % Shift.WEEK_MINUTES;
                Set<String> activeAtEnd = new TreeSet<>();
                for (Shift other : shifts.values()) {
                    if (other.isActiveAtMinute(end)) {
                        activeAtEnd.add(other.name());
                    }
                }
                sets.add(activeAtEnd);
            }
        }
        return sets;
    }

    private void checkShifts(Place place, Layers plain) {
        for (String shift : plain.names("shifts")) {
            for (String name : List.of("from", "to")) {
                if (plain.find("shifts", shift, name).isEmpty()) {
                    report(place + ": shifts." + shift, "nothing", "the shift has no '" + name + "' on any level");
                }
            }
        }
    }

    private void checkBatch(String at, Layers layers, Effective effective) {
        BatchValues batch = effective.batch();
        if (batch.releasePercent() >= batch.throttlePercent()) {
            report(
                    at + ": batch.releasePercent",
                    valueWithOrigin(layers, batch.releasePercent(), "batch", "releasePercent"),
                    "must be below throttlePercent "
                            + valueWithOrigin(layers, batch.throttlePercent(), "batch", "throttlePercent"));
        }
        if (batch.renewIntervalMs() * 2 > batch.leaseMs()) {
            report(
                    at + ": batch.renewIntervalMs",
                    valueWithOrigin(layers, batch.renewIntervalMs(), "batch", "renewIntervalMs"),
                    "must be at most half of leaseMs " + valueWithOrigin(layers, batch.leaseMs(), "batch", "leaseMs"));
        }
    }

    /** Refuses overlapping shifts of one level that set one value differently, since neither takes precedence. */
    private void checkOverlappingShifts(String at, Place place, Layers layers) {
        for (SettingsPath level : place.levels()) {
            List<Layers.Layer> shifts = layers.layers().stream()
                    .filter(layer -> layer.shift() && layer.path().startsWith(level + ".shifts."))
                    .toList();
            for (int i = 0; i < shifts.size(); i++) {
                for (int j = i + 1; j < shifts.size(); j++) {
                    for (String part : List.of("batch", "services")) {
                        compareShifts(at, shifts.get(i), shifts.get(j), new SettingsPath(List.of(part)));
                    }
                }
            }
        }
    }

    private void compareShifts(String at, Layers.Layer left, Layers.Layer right, SettingsPath path) {
        Optional<Node> leftNode = left.branch().at(path);
        Optional<Node> rightNode = right.branch().at(path);
        if (leftNode.isEmpty() || rightNode.isEmpty() || leftNode.get().equals(rightNode.get())) {
            return;
        }
        if (leftNode.get() instanceof Node.Branch && rightNode.get() instanceof Node.Branch) {
            Node.Branch branch = (Node.Branch) leftNode.get();
            for (int i = 0; i < branch.size(); i++) {
                compareShifts(at, left, right, path.child(branch.name(i)));
            }
            return;
        }
        report(
                at + ": " + path,
                SettingsJson.toJson(leftNode.get()) + " (" + left.path() + ")",
                "overlapping shifts set different values: " + SettingsJson.toJson(rightNode.get()) + " (" + right.path()
                        + ")");
    }

    private void checkService(String at, String service, Layers layers, Effective effective) {
        SettingsPath path = new SettingsPath(List.of("services", service));
        List<Object> parts = new ArrayList<>();
        parts.add(service);
        boolean plain = false;
        for (Layers.Layer layer : layers.layers()) {
            Optional<Node> part = layer.branch().at(path);
            part.ifPresent(parts::add);
            plain |= part.isPresent() && !layer.shift();
        }
        if (parts.size() == 1 || !checkedParts.add(parts)) {
            return;
        }
        if (!plain) {
            report(at + ": " + path, "only shifts", "the service is defined by shifts only and not on any level");
        }
        double guaranteedSum = 0;
        for (String kind : layers.names("services", service, "kinds")) {
            guaranteedSum += checkKind(at, service, kind, layers, effective);
        }
        if (guaranteedSum > 1 + SHARE_TOLERANCE) {
            report(at + ": " + path + ".kinds", "sum of guaranteedShare " + guaranteedSum, "must be at most 1");
        }
    }

    private double checkKind(String at, String service, String kind, Layers layers, Effective effective) {
        String[] path = {"services", service, "kinds", kind};
        String prefix = at + ": " + String.join(".", path);
        boolean plain = layers.layers().stream()
                .anyMatch(layer -> !layer.shift()
                        && layer.branch().at(new SettingsPath(List.of(path))).isPresent());
        if (!plain) {
            report(prefix, "only shifts", "the kind is defined by shifts only and not on any level");
        }
        Effective.DependentValues values = effective.dependentValues(service, kind);
        if (values.guaranteedShare() > values.cap()) {
            report(
                    prefix + ".guaranteedShare",
                    valueWithOrigin(
                            layers, values.guaranteedShare(), "services", service, "kinds", kind, "guaranteedShare"),
                    "must be at most cap "
                            + valueWithOrigin(layers, values.cap(), "services", service, "kinds", kind, "cap"));
        }
        if (values.latencyBoundMs() > values.deadlineMs()) {
            report(
                    prefix + ".latencyBoundMs",
                    valueWithOrigin(
                            layers, values.latencyBoundMs(), "services", service, "kinds", kind, "latencyBoundMs"),
                    "must be at most deadlineMs "
                            + valueWithOrigin(
                                    layers, values.deadlineMs(), "services", service, "kinds", kind, "deadlineMs"));
        }
        return values.guaranteedShare();
    }

    private void checkLinks() {
        Layers defaults = Layers.collect(root, new Place("", ""), shift -> false);
        for (String from : defaults.names("links")) {
            if (defaults.names("links", from).contains(from)) {
                report("defaults.links." + from + "." + from, from, "a link must connect two different regions");
            }
        }
    }

    private static String valueWithOrigin(Layers layers, Object value, String... path) {
        return value + " ("
                + layers.find(path).map(found -> found.layer().path()).orElse(EffectiveValue.BUILT_IN) + ")";
    }

    private void report(String path, String value, String message) {
        // A contradiction in the defaults appears at every place; only the first one is reported.
        String key = path.substring(path.indexOf(": ") + 1) + value + message;
        if (reportedKeys.add(key)) {
            problems.add(Problem.of(path, value, message));
        }
    }
}
