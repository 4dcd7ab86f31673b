package org.pollensill.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Timeouts of calls to many targets. A queue at the caller's own link or event loop delays the answers of all targets,
 * so a timeout is the longer one of the target's own estimate and of an estimate over all targets.
 */
public final class TargetTimeouts {

    private static final float LOAD_FACTOR = 0.75f;

    private final TimeoutBounds bounds;
    private final TimeoutEstimate shared;
    private final Map<String, TimeoutEstimate> byTarget;

    private TargetTimeouts(TimeoutBounds bounds, int maxTargets) {
        this.bounds = bounds;
        this.shared = TimeoutEstimate.of(bounds);
        this.byTarget = new LinkedHashMap<>(maxTargets, LOAD_FACTOR, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, TimeoutEstimate> eldest) {
                return size() > maxTargets;
            }
        };
    }

    /**
     * Creates timeouts without measurements.
     *
     * @param bounds the bounds of each timeout
     * @param maxTargets the maximum number of targets with an estimate of their own; the one not used for the longest
     *     time is forgotten first
     * @return the timeouts
     */
    public static TargetTimeouts of(TimeoutBounds bounds, int maxTargets) {
        return new TargetTimeouts(Objects.requireNonNull(bounds, "bounds is null"), maxTargets);
    }

    /**
     * Returns the current timeout of a target.
     *
     * @param target the target
     * @return the timeout in milliseconds
     */
    public long timeoutMs(String target) {
        TimeoutEstimate own = byTarget.get(Objects.requireNonNull(target, "target is null"));
        return own == null ? shared.timeoutMs() : Math.max(own.timeoutMs(), shared.timeoutMs());
    }

    /**
     * Returns the current timeout of a target without measurements of its own.
     *
     * @return the timeout in milliseconds
     */
    public long sharedTimeoutMs() {
        return shared.timeoutMs();
    }

    /**
     * Records the time to an answer of a target; the time to a late one counts too.
     *
     * @param target the target
     * @param elapsedMs the time in milliseconds
     */
    public void answered(String target, long elapsedMs) {
        Objects.requireNonNull(target, "target is null");
        shared.answered(elapsedMs);
        byTarget.computeIfAbsent(target, key -> TimeoutEstimate.of(bounds)).answered(elapsedMs);
    }
}
