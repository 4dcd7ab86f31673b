package org.pollensill.settings;

import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Set;

import org.pollensill.contract.KindContract;
import org.pollensill.contract.ServiceContract;

/** Lists the components of the typed records, so that operators see exactly the values that the daemons use. */
final class EffectiveListing {

    /** Components that are names or that are listed separately. */
    private static final Set<String> SKIPPED_COMPONENTS = Set.of("service", "kind", "team", "kinds");

    /** Receives the listed values. */
    interface Sink {

        /** Adds a value. */
        void add(List<EffectiveValue> values, String prefix, String name, Object value);
    }

    private EffectiveListing() {}

    static void addAll(Effective effective, Layers layers, List<EffectiveValue> values, Sink sink) {
        addComponents("entry", effective.entry(), values, sink);
        addComponents("batch", effective.batch(), values, sink);
        for (String name : effective.services()) {
            ServiceContract contract = effective.service(name).orElseThrow();
            String prefix = "services." + name;
            addComponents(prefix, contract, values, sink);
            for (KindContract kind : contract.kinds().values().stream()
                    .sorted((a, b) -> a.kind().compareTo(b.kind()))
                    .toList()) {
                addComponents(prefix + ".kinds." + kind.kind(), kind, values, sink);
            }
        }
        for (String team : effective.teams()) {
            addComponents("teams." + team, effective.team(team).orElseThrow(), values, sink);
        }
        for (String from : layers.names("links")) {
            for (String to : layers.names("links", from)) {
                addComponents("links." + from + "." + to, effective.link(from, to), values, sink);
            }
        }
        for (Shift shift : layers.shifts().values()) {
            String prefix = "shifts." + shift.name();
            List<String> days =
                    shift.days().stream().sorted().map(ValueType::dayName).toList();
            sink.add(values, prefix, "days", days);
            sink.add(values, prefix, "from", shift.from().toString());
            sink.add(values, prefix, "to", shift.to().toString());
        }
    }

    private static void addComponents(String prefix, Record values, List<EffectiveValue> listed, Sink sink) {
        for (RecordComponent component : values.getClass().getRecordComponents()) {
            if (SKIPPED_COMPONENTS.contains(component.getName())) {
                continue;
            }
            try {
                sink.add(
                        listed,
                        prefix,
                        component.getName(),
                        component.getAccessor().invoke(values));
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("component " + component.getName() + " cannot be read", e);
            }
        }
    }
}
