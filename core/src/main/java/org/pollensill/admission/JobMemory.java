package org.pollensill.admission;

import org.pollensill.job.JobRequest;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;

/**
 * The memory of a leader that jobs take, in bytes of its heap. The amounts per object are upper bounds for a 64-bit JVM
 * with compressed references.
 */
public final class JobMemory {

    /** Bytes of a job without its steps and its payload. */
    public static final long JOB_BYTES = 1_000;

    /** Bytes of a step without its tasks. */
    public static final long STEP_BYTES = 700;

    /** Bytes of a task that has an object. */
    public static final long TASK_BYTES = 500;

    /** Bytes of each entry in the arrays of a step: a reference, and the last run. */
    private static final long TASK_ARRAY_BYTES = Integer.BYTES + Short.BYTES;

    /** Bytes of the description of a step. */
    private static final long SPEC_BYTES = 300;

    /** Bytes of the number of a preceding step. */
    private static final long PREDECESSOR_BYTES = 20;

    /** Maximum number of steps of the occurrences of a job that are open at a time, unless one occurrence has more. */
    public static final int MAX_OPEN_STEPS = 128;

    private JobMemory() {}

    /**
     * Returns the part of the heap that jobs may take; the rest is for what is read, written and sent.
     *
     * @return the limit in bytes
     */
    public static long limitBytes() {
        return Runtime.getRuntime().maxMemory() / 2;
    }

    /**
     * Returns the most that a job takes at any time, apart from the objects of independent tasks, which exist only while
     * those are at work.
     *
     * @param job the job
     * @return the amount in bytes
     */
    public static long maxBytes(JobRequest job) {
        long bytes = JOB_BYTES + job.payload().length();
        long occurrenceBytes = 0;
        long tasks = 0;
        for (StepSpec step : job.steps()) {
            bytes += SPEC_BYTES + PREDECESSOR_BYTES * step.predecessors().size();
            occurrenceBytes += STEP_BYTES + step.count() * (TASK_ARRAY_BYTES + (isIndividual(step) ? TASK_BYTES : 0));
            tasks += step.count();
        }
        long open = Math.max(1, MAX_OPEN_STEPS / Math.max(1, job.steps().size()));
        long occurrences = job.schedule().occurrenceCount();
        long lastRunsBytes = job.schedule().isScheduled() ? occurrences * tasks * Short.BYTES : 0;
        return bytes + Math.min(open, occurrences) * occurrenceBytes + lastRunsBytes;
    }

    /**
     * Returns whether the tasks of a step have objects all the time, since they wait and run as individuals.
     *
     * @param step the step
     * @return true for gangs and long-running tasks
     */
    public static boolean isIndividual(StepSpec step) {
        return step.hasTrait(Trait.GANG) || step.hasTrait(Trait.RESTART_ALWAYS);
    }
}
