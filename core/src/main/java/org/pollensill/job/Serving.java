package org.pollensill.job;

import java.util.Objects;
import java.util.Optional;

/**
 * How the tasks of a step serve users of their own.
 *
 * @param image what the tasks run; tasks of one image behave alike
 * @param targetTailMs bound of the tail latency, 0 where the tasks serve nobody
 * @param mayMiss most tasks that the scheduler may take away at once, 0 where it is not limited
 */
public record Serving(Optional<String> image, long targetTailMs, int mayMiss) {

    /** A task that serves nobody. */
    public static final Serving NONE = new Serving(Optional.empty(), 0, 0);

    /**
     * Creates the values.
     *
     * @throws NullPointerException if {@code image} is null
     */
    public Serving {
        Objects.requireNonNull(image, "image is null");
    }
}
