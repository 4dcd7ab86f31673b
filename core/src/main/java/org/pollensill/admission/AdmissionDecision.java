package org.pollensill.admission;

/**
 * Whether a job is accepted.
 *
 * @param reason why
 * @param retryAfterS time after which a caller that is turned away should come back, in seconds; 0 for an accepted job
 * @param forecastMs expected time until the job would be done, in milliseconds; 0 where it is not foreseen
 */
public record AdmissionDecision(Reason reason, int retryAfterS, long forecastMs) {

    /** Why a job is accepted or rejected. */
    public enum Reason {
        /** Its completion is expected to have value. */
        SERVABLE,
        /** Nothing is foreseen of it: it has no objective, or there is no recent forecast of its service. */
        NOT_FORESEEN,
        /** Its completion would have lost its value by the time it is done. */
        TOO_LATE,
        /** The leader can hold no further jobs. */
        MEMORY_FULL
    }

    /**
     * Returns whether the job is accepted.
     *
     * @return whether it is to be stored
     */
    public boolean accepted() {
        return reason == Reason.SERVABLE || reason == Reason.NOT_FORESEEN;
    }
}
