package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.job.JobRecord;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runner.AdviceAnswer;
import org.pollensill.runner.HoldAnswer;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RunnerClock;
import org.pollensill.runner.RunnerEntry;

/**
 * The leader's decisions. A placement is recorded before its start is sent, an end is acknowledged after it is
 * recorded, and a task is started again only when no runner can hold it. Times are monotonic milliseconds.
 */
public final class Dispatcher {

    private final DispatchListener listener;
    private final Fleet fleet;
    private final Recorder recorder;
    private final JobTable jobs;
    private final Reports reports;
    private final Starts starts;
    private final Disturbance disturbance = new Disturbance();
    private final Sharing sharing;
    private final Scheduling scheduling;
    private final Upkeep upkeep;
    private final Advising advising;
    private boolean begun;

    private Dispatcher(
            long fence, long nowMs, long heldForMs, String recordKeyPrefix, Orders orders, DispatchListener listener) {
        this.listener = listener;
        this.fleet = new Fleet(nowMs + heldForMs);
        this.recorder = new Recorder(recordKeyPrefix);
        this.jobs = new JobTable(recorder, listener);
        RunnerHealth health = new RunnerHealth(listener);
        this.reports = new Reports(jobs, recorder, health, listener, orders);
        this.starts = new Starts(fence, orders, fleet, jobs, health, reports);
        Placement placement = new Placement(disturbance);
        this.scheduling =
                new Scheduling(jobs, fleet, recorder, placement, new RoomMaker(fleet, placement, reports), listener);
        this.sharing = new Sharing(orders, reports, disturbance, scheduling::hasOtherPlace);
        this.advising = new Advising(jobs, fleet);
        this.upkeep = new Upkeep(jobs, fleet, reports, health, orders, fence);
    }

    /**
     * Creates the dispatcher of a coordinator that has just become the leader.
     *
     * @param fence its fencing token
     * @param nowMs the time of the takeover
     * @param formerUnconfirmedMs how long the former leader may go on extending leases, counted from now
     * @param recordKeyPrefix beginning of the keys under which progress is stored
     * @param orders takes the orders
     * @param listener is told of each decision
     * @return the dispatcher, without jobs and runners
     */
    public static Dispatcher takeOver(
            long fence,
            long nowMs,
            long formerUnconfirmedMs,
            String recordKeyPrefix,
            Orders orders,
            DispatchListener listener) {
        Objects.requireNonNull(recordKeyPrefix, "recordKeyPrefix is null");
        Objects.requireNonNull(orders, "orders is null");
        Objects.requireNonNull(listener, "listener is null");
        long heldForMs =
                formerUnconfirmedMs + RunnerClock.longestMs(DispatchTiming.LEASE_MS) + DispatchTiming.MARGIN_MS;
        return new Dispatcher(fence, nowMs, heldForMs, recordKeyPrefix, orders, listener);
    }

    /**
     * Returns how long a former leader may have gone on extending leases after its last commit.
     *
     * @return the time in milliseconds
     */
    public static long unconfirmedHoldMs() {
        return DispatchTiming.UNCONFIRMED_HOLD_MS;
    }

    /**
     * Takes the operator's configuration.
     *
     * @param catalogue the queues
     */
    public void setCatalogue(QueueCatalogue catalogue) {
        jobs.setCatalogue(Objects.requireNonNull(catalogue, "catalogue is null"));
    }

    /**
     * Returns what was learned about the images that run, for the next leader.
     *
     * @return the stored form
     */
    public String learned() {
        return disturbance.encode();
    }

    /**
     * Takes what a former leader has learned, unless this one has learned already.
     *
     * @param text the stored form
     * @throws JsonSyntaxException if the text cannot be read
     */
    public void restoreLearned(String text) throws JsonSyntaxException {
        disturbance.restore(text);
    }

    /**
     * Adds an accepted job; a job that is known already is left as it is.
     *
     * @param request the job
     * @param record its recorded progress, empty where it has none
     * @param nowMs the time
     */
    public void addJob(JobRequest request, Optional<JobRecord> record, long nowMs) {
        jobs.add(request, record, fleet, nowMs);
    }

    /**
     * Cancels a job, unless it has ended.
     *
     * @param id the job
     * @param nowMs the time
     */
    public void cancel(String id, long nowMs) {
        Optional<JobState> job = jobs.get(id);
        if (job.isEmpty() || job.get().status.isFinal()) {
            return;
        }
        jobs.finish(job.get(), JobStatus.CANCELLED, nowMs);
        reports.stopAll(job.get(), nowMs);
    }

    /**
     * Begins to give orders. To be called once all recorded jobs are added: an end of a job that is not known yet would
     * be acknowledged without being counted.
     */
    public void begin() {
        begun = true;
    }

    /**
     * Takes the list of runners.
     *
     * @param entries all runners that can be used
     * @param nowMs the time
     */
    public void updateRunners(List<RunnerEntry> entries, long nowMs) {
        fleet.update(entries, runner -> reports.endLife(runner, nowMs));
    }

    /**
     * Places tasks and takes the changes that must be recorded next.
     *
     * @param nowMs the time
     * @return the changes, empty where there are none
     */
    public Optional<Batch> plan(long nowMs) {
        if (!begun) {
            return Optional.empty();
        }
        scheduling.place(nowMs);
        Optional<Batch> batch = recorder.take();
        if (batch.isEmpty()) {
            acknowledge(recorder.takeSettledEnds(), nowMs);
        }
        return batch;
    }

    /**
     * Notes that a batch is durable, and sends the starts that waited for it.
     *
     * @param batch the batch
     * @param nowMs the time
     */
    public void committed(Batch batch, long nowMs) {
        for (Map.Entry<JobState, JobStatus> status : batch.statuses().entrySet()) {
            status.getKey().recorded = status.getValue();
        }
        acknowledge(batch.ends(), nowMs);
        for (Batch.Placement placement : batch.placements()) {
            TaskState task = placement.task();
            if (task.phase == TaskState.Phase.PLACED && task.run == placement.run()) {
                task.phase = TaskState.Phase.ORDERED;
                task.confirmedAtHold = Long.MAX_VALUE;
                starts.send(task, nowMs);
            }
        }
    }

    private static void acknowledge(Map<RunnerState, Long> ends, long nowMs) {
        for (Map.Entry<RunnerState, Long> end : ends.entrySet()) {
            RunnerState runner = end.getKey();
            if (end.getValue() <= runner.seenEnd) {
                runner.durableEnd = Math.max(runner.durableEnd, end.getValue());
                runner.nextHoldAtMs = Math.min(runner.nextHoldAtMs, nowMs);
            }
        }
    }

    /**
     * Takes back a batch that was certainly not written.
     *
     * @param batch the batch
     */
    public void withdrawn(Batch batch) {
        recorder.restore(batch);
    }

    /**
     * Takes the answer to a start.
     *
     * @param name the task
     * @param run the run
     * @param runnerId the runner
     * @param answer the answer
     * @param nowMs the time
     */
    public void onStart(TaskName name, int run, String runnerId, OrderAnswer answer, long nowMs) {
        noteOutcome(runnerId, answer.outcome(), nowMs);
        starts.onStart(name, run, runnerId, answer, nowMs);
    }

    /**
     * Takes the answer to a stop.
     *
     * @param name the task
     * @param run the run
     * @param runnerId the runner
     * @param answer the answer
     * @param nowMs the time
     */
    public void onStop(TaskName name, int run, String runnerId, OrderAnswer answer, long nowMs) {
        noteOutcome(runnerId, answer.outcome(), nowMs);
        starts.onStop(name, run, runnerId, answer, nowMs);
    }

    /**
     * Takes the answer to a hold.
     *
     * @param runnerId the runner
     * @param sequence the hold's number
     * @param answer the answer
     * @param nowMs the time
     */
    public void onHold(String runnerId, long sequence, HoldAnswer answer, long nowMs) {
        noteOutcome(runnerId, answer.outcome(), nowMs);
        Optional<RunnerState> found = fleet.get(runnerId);
        if (found.isEmpty() || found.get().holdSequence != sequence) {
            return;
        }
        RunnerState runner = found.get();
        runner.holdInFlight = false;
        if (answer.outcome() == OrderOutcome.OTHER_RUNNER) {
            reports.endLife(runner, nowMs);
            runner.listed = false;
            runner.nextHoldAtMs = nowMs + DispatchTiming.UNRECORDED_RENEWAL_MS;
            return;
        }
        if (answer.report().isEmpty()) {
            runner.silentHolds++;
            runner.nextHoldAtMs = nowMs + DispatchTiming.RETRY_MS;
            return;
        }
        long bornMs = answer.report().get().bornMs();
        if (bornMs != 0 && bornMs != runner.bornMs) {
            reports.endLife(runner, nowMs);
            runner.beginLife(bornMs);
        }
        reports.apply(runner, sequence, answer.report().get(), nowMs);
        sharing.apply(runner, answer.report().get(), nowMs);
        // Ends must be durable before the next hold can acknowledge them.
        boolean unrecorded = runner.seenEnd > runner.durableEnd;
        runner.nextHoldAtMs = unrecorded ? nowMs + DispatchTiming.UNRECORDED_RENEWAL_MS : nowMs;
    }

    private void noteOutcome(String runnerId, OrderOutcome outcome, long nowMs) {
        if (outcome == OrderOutcome.UNANSWERED) {
            upkeep.noteUnanswered(nowMs);
        }
        if (outcome == OrderOutcome.FENCED) {
            listener.fenced(runnerId);
        }
    }

    /**
     * Gives the orders whose time has come.
     *
     * @param nowMs the time
     * @param wallMs the time of day
     * @param mayExtend whether leases may be extended, because the leader lease was confirmed recently
     */
    public void tick(long nowMs, long wallMs, boolean mayExtend) {
        if (!begun) {
            return;
        }
        jobs.makeDue(wallMs, nowMs);
        upkeep.tick(nowMs, mayExtend);
    }

    /**
     * Returns the next call for advice, if one is due; the next one is due after its answer.
     *
     * @param nowMs the time
     * @return the call
     */
    public Optional<AdviceRequest> nextAdvice(long nowMs) {
        return begun ? advising.next(nowMs) : Optional.empty();
    }

    /**
     * Takes the answer to a call for advice.
     *
     * @param request the call
     * @param answer the answer
     * @param nowMs the time
     */
    public void onAdvice(AdviceRequest request, AdviceAnswer answer, long nowMs) {
        advising.answered(request, answer, nowMs);
    }

    /**
     * Extends the leases of all runners once more, so that their tasks outlive a change of the leader. To be called
     * before the lease is given up: a successor counts leases from its own takeover.
     *
     * @param nowMs the time
     */
    public void extendLeases(long nowMs) {
        if (begun) {
            upkeep.extendLeases(nowMs);
        }
    }

    /**
     * Returns the state of a job that may be shown.
     *
     * @param id the job
     * @return the state, empty where the job is not known here
     */
    public Optional<JobStatus> status(String id) {
        return jobs.get(id).map(JobState::visible);
    }

    /**
     * Returns the number of jobs by queue for which no task has started.
     *
     * @return the numbers
     */
    public Map<String, Integer> waitingJobs() {
        return jobs.waitingByQueue();
    }

    /**
     * Returns the jobs whose recorded end lies before a time.
     *
     * @param timeMs the time
     * @return their identities
     */
    public List<String> endedBefore(long timeMs) {
        List<String> ended = new ArrayList<>();
        for (JobState job : jobs.all()) {
            if (job.recorded.isFinal() && job.finalAtMs < timeMs) {
                ended.add(job.request.id());
            }
        }
        return ended;
    }

    /**
     * Forgets a job that has ended.
     *
     * @param id the job
     */
    public void forget(String id) {
        disturbance.forget(id);
        jobs.get(id).filter(job -> job.recorded.isFinal()).ifPresent(jobs::forget);
    }
}
