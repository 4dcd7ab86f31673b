package org.pollensill.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import org.pollensill.configuration.Finding.Kind;

/** Checks a configuration by itself, and against the version in force. */
public final class ConfigurationCheck {

    private final Draft draft;
    private final List<Finding> findings = new ArrayList<>();

    private ConfigurationCheck(Draft draft) {
        this.draft = draft;
    }

    /**
     * Checks a configuration.
     *
     * @param draft the configuration
     * @param inForce the version in force, empty to leave out the differences
     * @return the findings, gravest first
     */
    public static List<Finding> check(Draft draft, Optional<Draft> inForce) {
        ConfigurationCheck check = new ConfigurationCheck(draft);
        check.findings.addAll(draft.problems());
        check.checkQueues();
        check.checkServices();
        check.checkLimits();
        inForce.ifPresent(check::compare);
        check.findings.sort((first, second) -> first.kind().compareTo(second.kind()));
        return List.copyOf(check.findings);
    }

    private void add(Kind kind, String subject, String text) {
        findings.add(new Finding(kind, subject, text));
    }

    private void checkQueues() {
        Map<String, Draft.Service> services = new HashMap<>();
        draft.services().forEach(service -> services.put(service.name(), service));
        Set<String> names = new HashSet<>();
        Map<String, String> firstByPath = new HashMap<>();
        for (Draft.Queue queue : draft.queues()) {
            String subject = "queue " + queue.name();
            if (!names.add(queue.name())) {
                add(Kind.ERROR, subject, "the name is used twice");
            }
            String path = queue.host().toLowerCase(Locale.ROOT) + " " + queue.pathPrefix();
            String first = firstByPath.putIfAbsent(path, queue.name());
            if (first != null) {
                add(Kind.NEVER_MATCHES, subject, "queue " + first + " has the same host and path prefix");
            }
            if (!queue.pathPrefix().startsWith("/")) {
                add(Kind.NEVER_MATCHES, subject, "the path prefix does not begin with /");
            }
            if (queue.host().contains(":") || queue.host().contains("/")) {
                add(Kind.NEVER_MATCHES, subject, "the host is compared without port and path");
            }
            checkTerms(queue, subject);
            Draft.Service service = services.get(queue.service());
            if (service == null) {
                add(Kind.ERROR, subject, "there is no service " + queue.service());
            } else if (service.standby()) {
                add(Kind.CONTRADICTION, subject, "the machines of service " + service.name() + " are off");
            }
        }
    }

    private void checkTerms(Draft.Queue queue, String subject) {
        queue.attempts()
                .filter(attempts -> attempts < 1)
                .ifPresent(attempts -> add(Kind.ERROR, subject, "a job cannot have " + attempts + " attempts"));
        queue.stretch()
                .filter(stretch -> !(stretch >= 0))
                .ifPresent(stretch -> add(Kind.ERROR, subject, "the stretch " + stretch + " is below 0"));
        if (queue.stretch().orElse(1.0) < 1 && queue.targetLatencyMs().orElse(0L) == 0) {
            add(
                    Kind.CONTRADICTION,
                    subject,
                    "with a stretch below 1 and no fixed allowance no job can meet its objective");
        }
        queue.timeoutMs()
                .filter(timeoutMs -> timeoutMs < 1)
                .ifPresent(timeoutMs -> add(Kind.ERROR, subject, "no request is answered within " + timeoutMs + " ms"));
    }

    private void checkServices() {
        Set<String> names = new HashSet<>();
        Set<String> used = new HashSet<>();
        draft.queues().forEach(queue -> used.add(queue.service()));
        for (Draft.Service service : draft.services()) {
            String subject = "service " + service.name();
            if (!names.add(service.name())) {
                add(Kind.ERROR, subject, "the name is used twice");
            }
            if (!used.contains(service.name()) && !service.standby()) {
                add(Kind.NEVER_MATCHES, subject, "no queue leads to it, and its machines are paid for");
            }
            service.maxConnections()
                    .filter(connections -> connections < 1)
                    .ifPresent(connections ->
                            add(Kind.ERROR, subject, "runners cannot be reached over " + connections + " connections"));
        }
    }

    private void checkLimits() {
        draft.limits().forEach((name, value) -> {
            if (value < 1) {
                add(Kind.ERROR, "limits", name + " is " + value);
            }
        });
        Long headerMs = draft.limits().get(Draft.HEADER_TIMEOUT_MS);
        Long idleMs = draft.limits().get(Draft.IDLE_TIMEOUT_MS);
        if (headerMs != null && idleMs != null && headerMs > idleMs) {
            add(
                    Kind.CONTRADICTION,
                    "limits",
                    "the headers may take " + headerMs + " ms on a connection that is closed after " + idleMs
                            + " idle ms");
        }
        Long headerBytes = draft.limits().get(Draft.MAX_HEADER_BYTES);
        Long bodyBytes = draft.limits().get(Draft.MAX_BODY_BYTES);
        if (headerBytes != null && bodyBytes != null && headerBytes > bodyBytes) {
            add(
                    Kind.CONTRADICTION,
                    "limits",
                    "headers of " + headerBytes + " bytes and bodies of only " + bodyBytes + " bytes are taken");
        }
    }

    private void compare(Draft inForce) {
        long versionInForce = inForce.version().orElse(0L);
        if (draft.version().isPresent() && draft.version().get() <= versionInForce) {
            add(
                    Kind.ERROR,
                    "configuration",
                    "version " + draft.version().get() + " does not follow version " + versionInForce
                            + " and would be ignored");
        }
        compare("queue ", draft.queues(), inForce.queues(), Draft.Queue::name, Draft.Queue::fields);
        compare("service ", draft.services(), inForce.services(), Draft.Service::name, Draft.Service::fields);
        Map<String, String> limits = new LinkedHashMap<>();
        draft.limits().forEach((name, value) -> limits.put(name, value.toString()));
        Map<String, String> limitsInForce = new LinkedHashMap<>();
        inForce.limits().forEach((name, value) -> limitsInForce.put(name, value.toString()));
        compareFields("limits", limits, limitsInForce);
    }

    private <T> void compare(
            String word,
            List<T> entries,
            List<T> entriesInForce,
            Function<T, String> name,
            Function<T, Map<String, String>> fields) {
        Map<String, T> former = new LinkedHashMap<>();
        entriesInForce.forEach(entry -> former.put(name.apply(entry), entry));
        for (T entry : entries) {
            T before = former.remove(name.apply(entry));
            if (before == null) {
                add(Kind.DIFFERENCE, word + name.apply(entry), "is new");
            } else {
                compareFields(word + name.apply(entry), fields.apply(entry), fields.apply(before));
            }
        }
        former.keySet().forEach(removed -> add(Kind.DIFFERENCE, word + removed, "is removed"));
    }

    private void compareFields(String subject, Map<String, String> fields, Map<String, String> before) {
        Set<String> names = new TreeSet<>(fields.keySet());
        names.addAll(before.keySet());
        for (String name : names) {
            String text = fields.getOrDefault(name, "none");
            String textBefore = before.getOrDefault(name, "none");
            if (!text.equals(textBefore)) {
                add(Kind.DIFFERENCE, subject, name + " " + textBefore + " becomes " + text);
            }
        }
    }
}
