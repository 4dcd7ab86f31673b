package org.pollensill.batch;

import java.util.List;
import java.util.Objects;

import org.pollensill.worker.Resources;

/** A call of the worker protocol. Calls are idempotent, and a worker refuses calls with an older epoch. */
public sealed interface WorkerCall {

    /**
     * Starts a task.
     *
     * @param task the task
     * @param attempt the attempt
     * @param epoch the owner's epoch
     * @param startBeforeWorkerClockMs the worker refuses the start after this time
     * @param leaseUntilWorkerClockMs initial end of the lease
     * @param spec the job specification
     * @param allocated resources allocated for it
     * @param resumeFrom the checkpoint to resume from, empty for none
     */
    record Start(
            TaskId task,
            int attempt,
            long epoch,
            long startBeforeWorkerClockMs,
            long leaseUntilWorkerClockMs,
            JobSpec spec,
            Resources allocated,
            String resumeFrom)
            implements WorkerCall {}

    /**
     * Renews leases; an empty list only makes the worker accept the epoch.
     *
     * @param epoch the owner's epoch
     * @param leases the leases
     */
    record Renew(long epoch, List<Lease> leases) implements WorkerCall {

        /**
         * Creates the call.
         *
         * @throws NullPointerException if {@code leases} is null
         */
        public Renew {
            leases = List.copyOf(Objects.requireNonNull(leases, "leases is null"));
        }
    }

    /**
     * A renewed lease.
     *
     * @param task the task
     * @param attempt the attempt
     * @param leaseUntilWorkerClockMs its new end
     */
    record Lease(TaskId task, int attempt, long leaseUntilWorkerClockMs) {}

    /**
     * Limits a task's processor usage.
     *
     * @param epoch the owner's epoch
     * @param task the task
     * @param attempt the attempt
     * @param percent share of its allocated processors, 100 for no limit
     */
    record Throttle(long epoch, TaskId task, int attempt, int percent) implements WorkerCall {}

    /**
     * Checkpoints a task and stops it.
     *
     * @param epoch the owner's epoch
     * @param task the task
     * @param attempt the attempt
     * @param checkpointId the checkpoint's identity
     */
    record Checkpoint(long epoch, TaskId task, int attempt, String checkpointId) implements WorkerCall {}

    /**
     * Stops a task and makes the worker refuse any later start of the attempt.
     *
     * @param epoch the owner's epoch
     * @param task the task
     * @param attempt the attempt
     */
    record Stop(long epoch, TaskId task, int attempt) implements WorkerCall {}

    /**
     * Allows the worker to discard ended attempts.
     *
     * @param epoch the owner's epoch
     * @param ended the attempts
     */
    record Acknowledge(long epoch, List<Ended> ended) implements WorkerCall {

        /**
         * Creates the call.
         *
         * @throws NullPointerException if {@code ended} is null
         */
        public Acknowledge {
            ended = List.copyOf(Objects.requireNonNull(ended, "ended is null"));
        }
    }

    /**
     * An ended attempt.
     *
     * @param task the task
     * @param attempt the attempt
     */
    record Ended(TaskId task, int attempt) {}

    /** Result of a call to a worker. */
    enum Result {
        /** Applied now or by an earlier delivery. */
        DONE,
        /** A start arrived after its deadline and has no effect. */
        LATE,
        /** Refused for another reason, or a start that may have been delivered more than once. */
        REFUSED,
        /** No answer; the call may still take effect within its own time limits. */
        UNKNOWN,
        /** The call was not sent. */
        NOT_SENT
    }
}
