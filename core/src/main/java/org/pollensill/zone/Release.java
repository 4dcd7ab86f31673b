package org.pollensill.zone;

import java.util.List;
import java.util.Objects;

/**
 * Declaration by a former owner that it starts no more work in a slice.
 *
 * @param slice the slice's number
 * @param epoch the epoch at which the sender lost the slice
 * @param running the work that the sender still has in progress in the slice
 */
public record Release(int slice, long epoch, List<RunningWork> running) {

    /**
     * Creates a release.
     *
     * @throws NullPointerException if {@code running} is null
     */
    public Release {
        running = List.copyOf(Objects.requireNonNull(running, "running is null"));
    }
}
