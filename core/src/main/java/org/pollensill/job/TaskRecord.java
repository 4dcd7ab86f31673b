package org.pollensill.job;

import java.util.Objects;
import java.util.Optional;

/**
 * What is stored of a task that has been placed at least once.
 *
 * @param occurrence the occurrence
 * @param step the step
 * @param index the task within the step
 * @param done whether it has ended well
 * @param run number of its last start
 * @param failures runs that have ended as failed
 * @param checkpoint its saved progress, empty for none
 * @param place the runner that may hold it, empty where none does
 */
public record TaskRecord(
        int occurrence,
        int step,
        int index,
        boolean done,
        int run,
        int failures,
        String checkpoint,
        Optional<Place> place) {

    /**
     * A life of a runner.
     *
     * @param runnerId the runner
     * @param bornMs the start of this life
     */
    public record Place(String runnerId, long bornMs) {

        /**
         * Creates a place.
         *
         * @throws NullPointerException if {@code runnerId} is null
         */
        public Place {
            Objects.requireNonNull(runnerId, "runnerId is null");
        }
    }

    /**
     * Creates a record.
     *
     * @throws NullPointerException if an argument is null
     */
    public TaskRecord {
        Objects.requireNonNull(checkpoint, "checkpoint is null");
        Objects.requireNonNull(place, "place is null");
    }
}
