package org.pollensill.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Records the requests that upstreams received, and counts violations of guarantees, which must stay at zero. */
final class RequestLedger {

    private final Set<String> acceptedIdentities = new HashSet<>();
    private final Set<String> acceptedKeys = new HashSet<>();
    private final Map<String, long[]> perKind = new TreeMap<>();
    private final Map<String, Map<String, Long>> perUpstream = new TreeMap<>();
    private final Map<String, Long> counters = new TreeMap<>();

    RequestLedger() {
        for (String name : new String[] {
            "slotOverruns", "connectionOverruns", "ranTwice", "workAfterLeaving", "wrongNotRun", "notRunReported"
        }) {
            counters.put(name, 0L);
        }
    }

    synchronized void count(String counter) {
        counters.merge(counter, 1L, Long::sum);
    }

    /**
     * Records that an upstream accepted a request.
     *
     * @param identities the identities under which a request may be reported as not run
     * @param deduplicationKey key of a request that must not run twice, empty for an idempotent request
     */
    synchronized void begin(String upstream, String kind, Iterable<String> identities, String deduplicationKey) {
        for (String identity : identities) {
            acceptedIdentities.add(identity);
        }
        if (!deduplicationKey.isEmpty() && !acceptedKeys.add(deduplicationKey)) {
            count("ranTwice");
        }
        perUpstream.computeIfAbsent(upstream, key -> new TreeMap<>()).merge(kind, 1L, Long::sum);
    }

    /** Records that an upstream completed a request, and whether the connection was still open. */
    synchronized void end(String kind, double serviceMs, boolean connected) {
        long[] sums = perKind.computeIfAbsent(kind, key -> new long[3]);
        sums[connected ? 0 : 1]++;
        sums[2] += Math.round(serviceMs * 1000);
    }

    /** Returns how many of the identities that were reported to callers as not run had been accepted by an upstream. */
    synchronized int countWrongNotRun(Iterable<String> identities) {
        int wrong = 0;
        for (String identity : identities) {
            count("notRunReported");
            if (acceptedIdentities.contains(identity)) {
                count("wrongNotRun");
                wrong++;
            }
        }
        return wrong;
    }

    synchronized Map<String, Object> snapshot() {
        Map<String, Object> kinds = new TreeMap<>();
        perKind.forEach((kind, sums) ->
                kinds.put(kind, Map.of("answered", sums[0], "abandoned", sums[1], "serviceMs", sums[2] / 1000.0)));
        Map<String, Object> upstreams = new TreeMap<>();
        perUpstream.forEach((upstream, counts) -> upstreams.put(upstream, new TreeMap<>(counts)));
        Map<String, Object> result = new HashMap<>(counters);
        result.put("kinds", kinds);
        result.put("requests", upstreams);
        return result;
    }
}
