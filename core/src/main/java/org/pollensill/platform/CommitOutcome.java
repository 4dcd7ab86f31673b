package org.pollensill.platform;

import java.util.Map;
import java.util.Objects;

/** Answer of the table service to a commit. A lost answer is reported as a {@link PlatformException} instead. */
public sealed interface CommitOutcome {

    /**
     * The commit took effect.
     *
     * @param versions the new version of each written row by key
     */
    record Committed(Map<String, Long> versions) implements CommitOutcome {

        /**
         * Creates the outcome.
         *
         * @throws NullPointerException if {@code versions} is null
         */
        public Committed {
            versions = Map.copyOf(Objects.requireNonNull(versions, "versions is null"));
        }
    }

    /**
     * A condition did not hold and nothing was written.
     *
     * @param versions the current versions by key of the rows whose condition failed, 0 if absent
     */
    record Conflicted(Map<String, Long> versions) implements CommitOutcome {

        /**
         * Creates the outcome.
         *
         * @throws NullPointerException if {@code versions} is null
         */
        public Conflicted {
            versions = Map.copyOf(Objects.requireNonNull(versions, "versions is null"));
        }
    }
}
