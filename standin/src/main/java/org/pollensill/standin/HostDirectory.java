package org.pollensill.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

import org.pollensill.platform.Host;

/** Host list with a propagation lag: a read returns the list as it was {@code lagMs} earlier. */
final class HostDirectory {

    private record Version(long sinceMs, List<Host> hosts) {}

    private final long lagMs;
    private final Map<String, Host> current = new LinkedHashMap<>();
    private final Deque<Version> history = new ArrayDeque<>();
    private long frozenUntilMs;

    HostDirectory(long lagMs) {
        this.lagMs = lagMs;
    }

    synchronized void put(Host host, long nowMs) {
        current.put(host.name(), host);
        record(nowMs);
    }

    synchronized void update(String name, UnaryOperator<Host> change, long nowMs) {
        if (current.computeIfPresent(name, (key, host) -> change.apply(host)) != null) {
            record(nowMs);
        }
    }

    synchronized void remove(String name, long nowMs) {
        if (current.remove(name) != null) {
            record(nowMs);
        }
    }

    /** Publishes the current list immediately, without the lag. */
    synchronized void publishNow() {
        history.clear();
        history.add(new Version(Long.MIN_VALUE, List.copyOf(current.values())));
    }

    /** Serves the list that is visible now until the given time. */
    synchronized void freeze(long nowMs, long untilMs) {
        visible(nowMs);
        frozenUntilMs = untilMs;
    }

    synchronized List<Host> visible(long nowMs) {
        if (nowMs >= frozenUntilMs) {
            while (history.size() > 1 && secondVersion().sinceMs() <= nowMs - lagMs) {
                history.removeFirst();
            }
        }
        return history.isEmpty() ? List.of() : history.getFirst().hosts();
    }

    private Version secondVersion() {
        var versions = history.iterator();
        versions.next();
        return versions.next();
    }

    private void record(long nowMs) {
        history.add(new Version(nowMs, new ArrayList<>(current.values())));
    }
}
