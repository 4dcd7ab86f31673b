package org.pollensill.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollensill.platform.Host;
import org.pollensill.runtime.event.EventLog;

/**
 * Injects and clears faults. A request names the {@code fault}; {@code target} is a comma-separated list of names
 * or prefixes ending in {@code *}; {@code forMs} limits the duration of the fault (0 or absent: until {@code clear}),
 * {@code count} limits the number of affected answers.
 */
final class FaultInjector {

    private static final EventLog LOG = EventLog.of(FaultInjector.class);

    private final Standin standin;

    FaultInjector(Standin standin) {
        this.standin = Objects.requireNonNull(standin, "standin is null");
    }

    /** Applies a fault and returns the names of the affected upstreams or workers. */
    List<String> apply(JsonNode request) throws IOException {
        String fault = request.path("fault").asText();
        List<String> targets = fault.startsWith("upstream-")
                ? matchingNames(standin.upstreams().keySet(), request)
                : fault.startsWith("worker-") ? matchingNames(standin.workers().keySet(), request) : List.of();
        if ((fault.startsWith("upstream-") || fault.startsWith("worker-")) && targets.isEmpty()) {
            throw new IllegalArgumentException("no target matches " + request.path("target"));
        }
        LOG.log(StandinEvent.FAULT_SWITCHED, "request", request.toString());
        if (fault.startsWith("upstream-")) {
            for (String target : targets) {
                applyToUpstream(fault, target, request);
            }
        } else if (fault.startsWith("worker-")) {
            for (String target : targets) {
                applyToWorker(fault, target, request);
            }
        } else {
            applyToPlatform(fault, request);
        }
        return targets;
    }

    private void applyToPlatform(String fault, JsonNode request) {
        long nowMs = standin.clock().nowMs();
        StoreFaults store = standin.storeFaults();
        switch (fault) {
            case "store-down" -> store.downUntil(until(nowMs, request));
            case "store-slow" -> store.slowUntil(until(nowMs, request), delayMs(request, 500));
            case "lost-answer" ->
                store.dropAnswers(count(request), request.path("prefix").asText(""));
            case "stale-hosts" -> standin.directory().freeze(nowMs, until(nowMs, request));
            case "clear" -> {
                store.clear();
                standin.directory().freeze(nowMs, 0);
                standin.upstreams()
                        .values()
                        .forEach(upstream -> upstream.faults().clear());
                standin.upstreams().keySet().forEach(name -> setState(name, Host.State.LIVE));
                standin.workers().values().forEach(worker -> worker.failAllStarts(false));
            }
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    private void applyToUpstream(String fault, String target, JsonNode request) throws IOException {
        long nowMs = standin.clock().nowMs();
        UpstreamFaults faults = standin.upstreams().get(target).faults();
        switch (fault) {
            case "upstream-leave" -> {
                faults.leave(nowMs, !request.path("mode").asText("refuse").equals("quiet"));
                setState(target, Host.State.LEAVING);
            }
            case "upstream-hang" -> faults.hangUntil(until(nowMs, request));
            case "upstream-slow" ->
                faults.slowUntil(until(nowMs, request), request.path("factor").asDouble(5));
            case "upstream-late" -> {
                boolean timed = request.has("forMs");
                faults.delayAnswers(
                        timed ? 0 : count(request), timed ? until(nowMs, request) : 0, delayMs(request, 1000));
            }
            case "upstream-break" -> faults.truncateAnswers(count(request));
            case "upstream-mismatch" -> faults.mismatchAnswers(count(request));
            case "upstream-die" -> standin.closePort(target);
            case "upstream-return" -> {
                faults.clear();
                standin.reopenPort(target);
                setState(target, Host.State.LIVE);
            }
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    private void applyToWorker(String fault, String target, JsonNode request) throws IOException {
        StandinWorker worker = standin.workers().get(target);
        switch (fault) {
            case "worker-fail" -> worker.failAllStarts(request.path("on").asBoolean(true));
            case "worker-lapse" -> worker.lapseLeases();
            case "worker-leave" -> setState(target, Host.State.LEAVING);
            case "worker-die" -> {
                worker.crash();
                standin.closePort(target);
            }
            case "worker-return" -> {
                worker.reboot();
                standin.reopenPort(target);
                setState(target, Host.State.LIVE);
            }
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    private void setState(String name, Host.State state) {
        standin.directory()
                .update(
                        name,
                        host -> new Host(
                                host.name(),
                                host.address(),
                                host.role(),
                                host.service(),
                                host.region(),
                                host.zone(),
                                host.rack(),
                                state,
                                host.processorsMillicores(),
                                host.memoryBytes(),
                                host.accelerators(),
                                host.slots(),
                                host.connections()),
                        standin.clock().nowMs());
    }

    private static List<String> matchingNames(Collection<String> names, JsonNode request) {
        List<String> matchingNames = new ArrayList<>();
        for (String pattern : request.path("target").asText("").split(",")) {
            for (String name : names) {
                boolean matches = pattern.endsWith("*")
                        ? name.startsWith(pattern.substring(0, pattern.length() - 1))
                        : name.equals(pattern);
                if (matches) {
                    matchingNames.add(name);
                }
            }
        }
        return matchingNames;
    }

    private static long until(long nowMs, JsonNode request) {
        long forMs = request.path("forMs").asLong(0);
        return forMs == 0 ? Long.MAX_VALUE : nowMs + forMs;
    }

    private static int count(JsonNode request) {
        return request.path("count").asInt(1);
    }

    private static long delayMs(JsonNode request, long defaultMs) {
        return request.path("delayMs").asLong(defaultMs);
    }
}
