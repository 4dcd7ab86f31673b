package org.pollensill.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.pollensill.admission.JobMemory;
import org.pollensill.admission.LoadForecast;
import org.pollensill.evacuation.ZoneEvacuations;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runner.AdviceAnswer;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerEntry;

/**
 * Makes the leader's scheduling decisions. A placement is durable before its start order is sent, an ended run is
 * acknowledged only after its end is durable, and a task is restarted only once no runner can still be running it.
 * Times are monotonic milliseconds.
 */
public final class Dispatcher {

    private final Fleet fleet;
    private final ZoneEvacuations evacuations;
    private final EvacuationMonitor evacuationMonitor;
    private final LeaseBoundsRecorder leaseBounds;
    private final PendingChanges pendingChanges;
    private final StateLimit limit;
    private final JobTable jobs;
    private final ReportHandler reportHandler;
    private final StartSender starts;
    private final InterferenceModel interferenceModel = new InterferenceModel();
    private final StepAvailability availability = new StepAvailability();
    private final TaskScheduler taskScheduler;
    private final RunnerMaintenance maintenance;
    private final AnswerHandler answers;
    private final AdvicePoller advicePoller;
    private final WaitExplainer waitExplainer;
    private final WithoutRunMonitor withoutRunMonitor;
    private final EarlyCancellations earlyCancellations = new EarlyCancellations();
    private final JobRetention retention;
    private final LoadForecaster forecaster;
    private boolean active;

    private Dispatcher(
            long fencingToken,
            InheritedLeases inheritedLeases,
            String recordKeyPrefix,
            Orders orders,
            DispatchListener listener,
            ZoneEvacuations evacuations) {
        this.evacuations = evacuations;
        this.fleet = new Fleet(inheritedLeases, evacuations);
        this.evacuationMonitor = new EvacuationMonitor(fleet, evacuations, listener);
        this.leaseBounds = new LeaseBoundsRecorder(fleet, inheritedLeases);
        this.pendingChanges = new PendingChanges(recordKeyPrefix, listener);
        this.limit = new StateLimit(JobMemory.limitBytes());
        this.jobs = new JobTable(pendingChanges, limit, listener);
        this.retention = new JobRetention(jobs, earlyCancellations);
        this.forecaster = new LoadForecaster(jobs, fleet);
        RunnerHealth health = new RunnerHealth(listener);
        this.reportHandler = new ReportHandler(jobs, pendingChanges, health, listener, orders, availability);
        this.starts = new StartSender(fencingToken, orders, leaseBounds, fleet, jobs, health, reportHandler);
        RunnerSelector runnerSelector = new RunnerSelector(interferenceModel);
        this.taskScheduler = new TaskScheduler(
                jobs,
                fleet,
                pendingChanges,
                runnerSelector,
                new Preemptor(fleet, runnerSelector, reportHandler, availability, listener),
                new CapacityReservations(fleet, runnerSelector, listener),
                listener);
        this.waitExplainer = new WaitExplainer(jobs, fleet, runnerSelector, taskScheduler, listener);
        this.withoutRunMonitor = new WithoutRunMonitor(jobs, fleet, runnerSelector, listener);
        this.advicePoller = new AdvicePoller(jobs, fleet);
        this.maintenance =
                new RunnerMaintenance(fleet, reportHandler, starts, health, orders, leaseBounds, fencingToken);
        InterferenceController interferenceController = new InterferenceController(
                orders, reportHandler, interferenceModel, taskScheduler::hasBetterRunner, availability);
        this.answers = new AnswerHandler(fleet, reportHandler, interferenceController, maintenance, listener);
    }

    /**
     * Creates the dispatcher of a coordinator that has just become the leader, in a deployment whose operator empties
     * no zones.
     *
     * @param fencingToken its fencing token
     * @param inheritedLeases the leases that former leaders may have granted
     * @param recordKeyPrefix prefix of the keys under which the progress of jobs is stored
     * @param orders sends the orders
     * @param listener receives each decision
     * @return the dispatcher, without jobs and runners
     */
    public static Dispatcher takeOver(
            long fencingToken,
            InheritedLeases inheritedLeases,
            String recordKeyPrefix,
            Orders orders,
            DispatchListener listener) {
        return takeOver(
                fencingToken, inheritedLeases, recordKeyPrefix, orders, listener, ZoneEvacuations.unsupported());
    }

    /**
     * Creates the dispatcher of a coordinator that has just become the leader.
     *
     * @param fencingToken its fencing token
     * @param inheritedLeases the leases that former leaders may have granted
     * @param recordKeyPrefix prefix of the keys under which the progress of jobs is stored
     * @param orders sends the orders
     * @param listener receives each decision
     * @param evacuations the zones that the operator empties
     * @return the dispatcher, without jobs and runners
     */
    public static Dispatcher takeOver(
            long fencingToken,
            InheritedLeases inheritedLeases,
            String recordKeyPrefix,
            Orders orders,
            DispatchListener listener,
            ZoneEvacuations evacuations) {
        Objects.requireNonNull(evacuations, "evacuations is null");
        Objects.requireNonNull(inheritedLeases, "inheritedLeases is null");
        Objects.requireNonNull(recordKeyPrefix, "recordKeyPrefix is null");
        Objects.requireNonNull(orders, "orders is null");
        Objects.requireNonNull(listener, "listener is null");
        return new Dispatcher(fencingToken, inheritedLeases, recordKeyPrefix, orders, listener, evacuations);
    }

    /**
     * Returns the maximum time after its last commit for which a leader renews leases and at which the last one ends.
     *
     * @return the time in milliseconds
     */
    public static long unconfirmedRenewalLimitMs() {
        return DispatchTiming.UNCONFIRMED_RENEWAL_LIMIT_MS;
    }

    /**
     * Returns the maximum time since its last confirmed commit for which a leader starts runs.
     *
     * @return the time in milliseconds
     */
    public static long unconfirmedStartLimitMs() {
        return DispatchTiming.UNCONFIRMED_START_LIMIT_MS;
    }

    /**
     * Applies the operator's configuration of the queues.
     *
     * @param catalogue the queues
     */
    public void setCatalogue(QueueCatalogue catalogue) {
        jobs.setCatalogue(Objects.requireNonNull(catalogue, "catalogue is null"));
        fleet.setGuardedServices(catalogue.guardedServices());
    }

    /**
     * Returns the interference model of the images that run, in the form stored for the next leader.
     *
     * @return the stored form
     */
    public String encodeInterferenceModel() {
        return interferenceModel.encode();
    }

    /**
     * Restores a former leader's interference model, unless this leader already has measurements.
     *
     * @param text the stored form
     * @throws JsonSyntaxException if the text cannot be read
     */
    public void restoreInterferenceModel(String text) throws JsonSyntaxException {
        interferenceModel.restore(text);
    }

    /**
     * Adds an accepted job; has no effect if the job exists.
     *
     * @param request the job
     * @param record its stored progress, empty where it has none
     * @param nowMs the time
     */
    public void addJob(JobRequest request, Optional<JobRecord> record, long nowMs) {
        boolean cancelled = earlyCancellations.take(request.id());
        jobs.add(request, record, cancelled, fleet, nowMs);
        if (active) {
            jobs.get(request.id()).ifPresent(job -> forecaster.accepted(job, nowMs));
        }
        if (cancelled) {
            cancel(request.id(), nowMs);
        }
    }

    /**
     * Adds an accepted job by its stored progress alone, if that shows that it has ended and left nothing to be done.
     *
     * @param id the job
     * @param record its stored progress
     * @param nowMs the time
     * @return whether it was added; otherwise the whole job is needed
     */
    public boolean addEnded(String id, JobRecord record, long nowMs) {
        return jobs.addEnded(id, record, nowMs);
    }

    /**
     * Adds an accepted job of which only the final state is stored.
     *
     * @param id the job
     * @param status its final state
     * @param nowMs the time
     */
    public void addCompact(String id, JobStatus status, long nowMs) {
        if (!jobs.contains(id)) {
            jobs.ended().add(id, status, nowMs);
            jobs.ended().markCompact(id);
        }
    }

    /**
     * Returns whether a job is known, so that adding it again has no effect.
     *
     * @param id the job
     * @return whether it was added before and not forgotten
     */
    public boolean contains(String id) {
        return jobs.contains(id);
    }

    /**
     * Cancels a job, unless it has ended. One that has not come yet is cancelled when it comes.
     *
     * @param id the job
     * @param nowMs the time
     */
    public void cancel(String id, long nowMs) {
        Optional<JobState> job = jobs.get(id);
        if (job.isEmpty()) {
            if (jobs.contains(id)) {
                return;
            }
            earlyCancellations.add(id, nowMs);
            limit.deferred().cancel(id);
            return;
        }
        if (job.get().status.isFinal()) {
            return;
        }
        jobs.finish(job.get(), JobStatus.CANCELLED, nowMs);
        reportHandler.stopAll(job.get(), nowMs);
    }

    /**
     * Starts sending orders. To be called once all stored jobs are added: otherwise the end of a run whose job is still
     * missing would be acknowledged without being applied.
     */
    public void startOrders() {
        active = true;
        limit.loaded();
        leaseBounds.activate();
    }

    /**
     * Updates the list of runners.
     *
     * @param entries all available runners
     */
    public void updateRunners(List<RunnerEntry> entries) {
        fleet.update(entries);
    }

    /**
     * Updates the zones that the operator empties. What runs there goes on; nothing starts there.
     *
     * @param zones the zones
     * @param asOfMs time at which the read of the requests was sent
     * @param nowMs the time
     * @return what has changed
     */
    public ZoneEvacuations.Change updateEvacuations(Set<String> zones, long asOfMs, long nowMs) {
        ZoneEvacuations.Change change = evacuations.update(zones, asOfMs, nowMs);
        fleet.applyEvacuations();
        return change;
    }

    /**
     * Returns the availability zones that are being emptied, with what still runs there.
     *
     * @param nowMs the time
     * @return the zones
     */
    public List<ZoneStatus> evacuatedZones(long nowMs) {
        return evacuationMonitor.zones(nowMs);
    }

    /**
     * Returns whether the list of runners should be read early: a runner has started anew, and nothing is placed on it
     * until its entry is known.
     *
     * @param nowMs the time
     * @return whether an early read may end the wait
     */
    public boolean awaitsRunnerEntry(long nowMs) {
        return fleet.awaitsEntry(nowMs);
    }

    /**
     * Places tasks and returns the changes to be committed next.
     *
     * @param nowMs the time
     * @return the changes, empty where there are none
     */
    public Optional<Batch> plan(long nowMs) {
        if (!active) {
            return Optional.empty();
        }
        if (evacuations.known(nowMs)) {
            taskScheduler.place(nowMs);
        }
        Optional<Batch> batch = pendingChanges.take(nowMs);
        if (batch.isEmpty()) {
            acknowledge(pendingChanges.takeEndsWithoutChanges(), nowMs);
        }
        return batch;
    }

    /**
     * Handles a committed batch: sends its start orders and lets its ended runs be acknowledged.
     *
     * @param batch the batch
     * @param nowMs the time
     */
    public void committed(Batch batch, long nowMs) {
        for (Map.Entry<JobState, JobStatus> status : batch.statuses().entrySet()) {
            status.getKey().recordedStatus = status.getValue();
            if (status.getValue().isFinal()) {
                jobs.endRecorded(status.getKey());
            }
        }
        pendingChanges.committed(batch);
        acknowledge(batch.ends(), nowMs);
        for (Batch.Placement placement : batch.placements()) {
            TaskState task = placement.task();
            if (task.phase == TaskState.Phase.PLACED && task.run == placement.run()) {
                task.phase = TaskState.Phase.ORDERED;
                task.confirmedAtRenewal = RunOwnership.NO_RENEWAL;
                starts.send(task, nowMs);
            }
        }
    }

    private static void acknowledge(Map<RunnerState, EndNumber> ends, long nowMs) {
        for (Map.Entry<RunnerState, EndNumber> end : ends.entrySet()) {
            RunnerState runner = end.getKey();
            if (end.getValue().incarnationStartMs() == runner.incarnationStartMs) {
                runner.lastDurableEnd =
                        Math.max(runner.lastDurableEnd, end.getValue().number());
                runner.nextRenewalAtMs = Math.min(runner.nextRenewalAtMs, nowMs);
            }
        }
    }

    /**
     * Restores the changes of a batch that was certainly not written, so that they are committed again.
     *
     * @param batch the batch
     */
    public void withdrawn(Batch batch) {
        pendingChanges.restore(batch);
    }

    /**
     * Restores the changes of a batch that the store rejects for its content. Smaller batches follow until the job that
     * causes the rejection is alone; that job is set aside and tried again from time to time.
     *
     * @param batch the batch
     * @param nowMs the time
     */
    public void rejected(Batch batch, long nowMs) {
        pendingChanges.rejected(batch, nowMs);
    }

    /**
     * Sets whether the progress of a job of many tasks is stored in several rows.
     *
     * @param allowed whether all coordinators that may lead can read them
     */
    public void allowProgressRanges(boolean allowed) {
        pendingChanges.allowRanges(allowed);
    }

    /**
     * Handles the answer to a start order.
     *
     * @param name the task
     * @param run the run
     * @param runnerId the runner
     * @param answer the answer
     * @param nowMs the time
     */
    public void onStart(TaskName name, int run, String runnerId, OrderAnswer answer, long nowMs) {
        answers.onOutcome(runnerId, answer.outcome(), nowMs);
        starts.onStart(name, run, runnerId, answer, nowMs);
    }

    /**
     * Handles the answer to a stop order.
     *
     * @param name the task
     * @param run the run
     * @param runnerId the runner
     * @param answer the answer
     * @param nowMs the time
     */
    public void onStop(TaskName name, int run, String runnerId, OrderAnswer answer, long nowMs) {
        answers.onOutcome(runnerId, answer.outcome(), nowMs);
        starts.onStop(name, run, runnerId, answer, nowMs);
    }

    /**
     * Handles the answer to a throttling order.
     *
     * @param name the task
     * @param run the run
     * @param percent the ordered pace in percent
     * @param runnerId the runner
     * @param answer the answer
     * @param nowMs the time
     */
    public void onThrottle(TaskName name, int run, int percent, String runnerId, OrderAnswer answer, long nowMs) {
        answers.onThrottle(name, run, percent, runnerId, answer, nowMs);
    }

    /**
     * Handles the answer to a lease renewal.
     *
     * @param runnerId the runner
     * @param sequence the renewal's sequence number
     * @param answer the answer
     * @param nowMs the time
     */
    public void onRenewal(String runnerId, long sequence, RenewalAnswer answer, long nowMs) {
        answers.onRenewal(runnerId, sequence, answer, nowMs);
    }

    /**
     * Releases due steps, sends the orders that are due and reports why tasks wait.
     *
     * @param nowMs the time
     * @param wallMs the wall clock time
     * @param mayRenew whether runner leases may be renewed, because the leader lease was confirmed recently
     */
    public void tick(long nowMs, long wallMs, boolean mayRenew) {
        if (!active) {
            return;
        }
        jobs.makeDueStepsReady(wallMs, nowMs);
        for (JobState job : jobs.takeExhausted()) {
            reportHandler.fail(job, nowMs);
        }
        jobs.reportOutcomes(nowMs);
        jobs.retireEnded().forEach(interferenceModel::removeJob);
        maintenance.tick(nowMs, mayRenew);
        waitExplainer.tick(nowMs);
        withoutRunMonitor.tick(nowMs);
        evacuationMonitor.tick(nowMs);
        forecaster.tick(nowMs);
    }

    /**
     * Returns the next advice request, if one is due; at most one request is in flight.
     *
     * @param nowMs the time
     * @return the request, empty where none is due
     */
    public Optional<AdviceRequest> nextAdvice(long nowMs) {
        return active ? advicePoller.next(nowMs) : Optional.empty();
    }

    /**
     * Handles the answer to an advice request.
     *
     * @param request the request
     * @param answer the answer
     * @param nowMs the time
     */
    public void onAdvice(AdviceRequest request, AdviceAnswer answer, long nowMs) {
        advicePoller.onAnswer(request, answer, nowMs);
    }

    /**
     * Renews the leases of all runners a last time, so that their tasks survive the change of leader. To be called
     * before the leader lease is released.
     *
     * @param nowMs the time
     */
    public void renewLeases(long nowMs) {
        if (active) {
            maintenance.renewLeases(nowMs);
        }
    }

    /**
     * Returns the bounds of leases that are stored with each commit.
     *
     * @return a view of the leases that this dispatcher grants and inherits
     */
    public LeaseBoundsRecorder leaseBounds() {
        return leaseBounds;
    }

    /**
     * Returns the jobs and cancellations that may be forgotten after a time.
     *
     * @return a view of this dispatcher's jobs
     */
    public JobRetention retention() {
        return retention;
    }

    /**
     * Returns the state of a job as clients may see it.
     *
     * @param id the job
     * @return the state, empty where the job does not exist here
     */
    public Optional<JobStatus> status(String id) {
        Optional<JobStatus> ended = jobs.ended().status(id);
        if (ended.isPresent()) {
            return ended;
        }
        return limit.deferred().awaitsRoom(id)
                ? Optional.of(JobStatus.QUEUED)
                : jobs.get(id).map(JobState::visibleStatus);
    }

    /**
     * Sets the time without work after which users count a long-running task as missing.
     *
     * @param unavailableAfterMs the time in milliseconds
     */
    public void setUnavailableAfterMs(long unavailableAfterMs) {
        availability.setUnavailableAfterMs(unavailableAfterMs);
    }

    /**
     * Returns the time that is assumed unless another one is set.
     *
     * @return the time in milliseconds
     */
    public static long defaultUnavailableAfterMs() {
        return StepAvailability.DEFAULT_UNAVAILABLE_AFTER_MS;
    }

    /**
     * Sets whether runners are reserved for large run-to-completion tasks that less urgent work overtakes, and used
     * until then by tasks that end in time.
     *
     * @param allowed whether they are
     */
    public void reserveForLargeTasks(boolean allowed) {
        taskScheduler.reserveForLargeTasks(allowed);
    }

    /**
     * Returns what is foreseen for jobs that come now.
     *
     * @return the forecast, empty before the first one of this leader
     */
    public Optional<LoadForecast> forecast() {
        return forecaster.current();
    }

    /**
     * Returns the memory that the accepted jobs leave free for others.
     *
     * @return the amount in bytes
     */
    public long freeBytes() {
        return limit.freeBytes();
    }

    /**
     * Returns accepted jobs for which there was no room and that fit now, to be added again.
     *
     * @param maxJobs the maximum number of jobs
     * @return their identities, most urgent first
     */
    public List<String> deferredToAdd(int maxJobs) {
        return limit.deferred().next(limit.freeBytesBesideDeferred(), maxJobs);
    }

    /**
     * Forgets a job for which there was no room and that is not stored any more.
     *
     * @param id the job
     */
    public void forgetDeferred(String id) {
        limit.deferred().remove(id);
    }

    /**
     * Returns the number of jobs of which no task has started, by queue.
     *
     * @return the numbers
     */
    public Map<String, Integer> waitingJobs() {
        return jobs.waitingByQueue();
    }
}
