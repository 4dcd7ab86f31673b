package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;

/** The jobs and cancellations that may be forgotten after a time. */
public final class JobRetention {

    private final JobTable jobs;
    private final EarlyCancellations earlyCancellations;
    private final InterferenceModel interferenceModel;

    JobRetention(JobTable jobs, EarlyCancellations earlyCancellations, InterferenceModel interferenceModel) {
        this.jobs = jobs;
        this.earlyCancellations = earlyCancellations;
        this.interferenceModel = interferenceModel;
    }

    /**
     * Returns the jobs whose final state is durable and was reached before a time.
     *
     * @param timeMs the time
     * @return their identities
     */
    public List<String> endedBefore(long timeMs) {
        List<String> ended = new ArrayList<>();
        for (JobState job : jobs.all()) {
            if (job.recordedStatus.isFinal() && job.finalAtMs < timeMs) {
                ended.add(job.request.id());
            }
        }
        return ended;
    }

    /**
     * Removes a job whose final state is durable.
     *
     * @param id the job
     */
    public void removeJob(String id) {
        interferenceModel.removeJob(id);
        jobs.get(id).filter(job -> job.recordedStatus.isFinal()).ifPresent(jobs::remove);
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
