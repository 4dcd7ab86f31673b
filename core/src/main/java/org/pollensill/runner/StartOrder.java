package org.pollensill.runner;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.job.TaskName;

/**
 * Order to start a task.
 *
 * @param task the task
 * @param run number of this run of the task
 * @param payload opaque text that the task receives
 * @param leaseEndMs expiry of the lease on the runner's clock
 * @param fencingToken the fencing token
 * @param checkpoint the checkpoint to resume from, empty for none
 * @param ticket ticket by which the queue's policy allows the runner, empty if the policy requires none
 */
public record StartOrder(
        TaskName task,
        int run,
        String payload,
        long leaseEndMs,
        long fencingToken,
        String checkpoint,
        Optional<String> ticket) {

    /**
     * Creates an order.
     *
     * @throws NullPointerException if an argument is null
     */
    public StartOrder {
        Objects.requireNonNull(task, "task is null");
        Objects.requireNonNull(payload, "payload is null");
        Objects.requireNonNull(checkpoint, "checkpoint is null");
        Objects.requireNonNull(ticket, "ticket is null");
    }
}
