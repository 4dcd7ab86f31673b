package org.pollensill.job;

import java.util.Objects;
import java.util.Optional;

/**
 * Service level of the tasks of a step that serve users of their own.
 *
 * @param image the image that the tasks run; tasks of the same image are assumed to behave alike
 * @param tailLatencyTargetMs upper bound of the tail latency, 0 if the tasks serve no users
 * @param maxUnavailable max tasks that may be unavailable at once when the scheduler preempts some, 0 for the scheduler's
 *     default share
 */
public record ServiceLevel(Optional<String> image, long tailLatencyTargetMs, int maxUnavailable) {

    /** Tasks that serve no users. */
    public static final ServiceLevel NONE = new ServiceLevel(Optional.empty(), 0, 0);

    /**
     * Creates a service level.
     *
     * @throws NullPointerException if {@code image} is null
     */
    public ServiceLevel {
        Objects.requireNonNull(image, "image is null");
    }
}
