package org.pollensill.error;

import java.util.Objects;
import java.util.concurrent.CompletionException;

/** Utilities for failures of futures. */
public final class Failures {

    private Failures() {}

    /**
     * Returns the original failure of a future, without the wrappers that dependent stages add.
     *
     * @param failure the failure as reported by a stage
     * @return the original failure
     * @throws NullPointerException if {@code failure} is null
     */
    public static Throwable unwrap(Throwable failure) {
        Throwable cause = Objects.requireNonNull(failure, "failure is null");
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }
}
