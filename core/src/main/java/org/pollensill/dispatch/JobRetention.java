package org.pollensill.dispatch;

import java.util.List;

import org.pollensill.job.EndedJobs;

/** The jobs and cancellations that may be forgotten after a time. */
public final class JobRetention {

    private final JobTable jobs;
    private final EarlyCancellations earlyCancellations;

    JobRetention(JobTable jobs, EarlyCancellations earlyCancellations) {
        this.jobs = jobs;
        this.earlyCancellations = earlyCancellations;
    }

    /**
     * Returns the jobs whose final state is durable.
     *
     * @return the jobs
     */
    public EndedJobs endedJobs() {
        return jobs.ended();
    }

    /**
     * Returns the jobs that have not come and whose cancellation became known before a time.
     *
     * @param timeMs the time
     * @return their identities
     */
    public List<String> cancelledEarlyBefore(long timeMs) {
        return earlyCancellations.before(timeMs);
    }

    /**
     * Forgets the cancellation of a job that has not come.
     *
     * @param id the job
     */
    public void removeEarlyCancellation(String id) {
        earlyCancellations.take(id);
    }
}
