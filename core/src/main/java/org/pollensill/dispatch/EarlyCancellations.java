package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Cancellations whose job has not come yet: the store may still carry out its submission. */
final class EarlyCancellations {

    /** Time at which each cancellation became known, by job. */
    private final Map<String, Long> knownSinceMs = new LinkedHashMap<>();

    void add(String jobId, long nowMs) {
        knownSinceMs.putIfAbsent(jobId, nowMs);
    }

    /** Removes and returns whether a job was cancelled before it came. */
    boolean take(String jobId) {
        return knownSinceMs.remove(jobId) != null;
    }

    /** Returns the jobs whose cancellation became known before a time. */
    List<String> before(long timeMs) {
        List<String> jobIds = new ArrayList<>();
        for (Map.Entry<String, Long> known : knownSinceMs.entrySet()) {
            if (known.getValue() < timeMs) {
                jobIds.add(known.getKey());
            }
        }
        return jobIds;
    }
}
