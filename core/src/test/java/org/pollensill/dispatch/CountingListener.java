package org.pollensill.dispatch;

import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;

/** Counts fenced orders and ignores all other decisions. */
class CountingListener implements DispatchListener {

    int fenced;

    @Override
    public void placed(TaskName task, int run, String runner, long waitedMs) {}

    @Override
    public void started(TaskName task, int run, String runner) {}

    @Override
    public void done(TaskName task, int run, String runner) {}

    @Override
    public void lost(TaskName task, int run, String runner, Cause cause) {}

    @Override
    public void statusChanged(String job, JobStatus status) {}

    @Override
    public void quarantined(String runner, int failures, long forMs) {}

    @Override
    public void fenced(String runner) {
        fenced++;
    }
}
