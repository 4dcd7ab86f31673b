package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pollensill.job.EndedJobs;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobStatus;
import org.pollensill.job.JobTerms;
import org.pollensill.job.TaskName;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.queue.QueuePolicy;

/** The accepted jobs, their ready steps, and the rules by which jobs reach a final state. */
final class JobTable {

    /** Objective of a job whose terms are not known yet. */
    private static final long DEFAULT_OBJECTIVE_MS = 10_000;

    /** Maximum number of steps of due occurrences that are opened in a turn of the leader's loop. */
    private static final int MAX_OPENED_STEPS_PER_TURN = 1_000;

    private final Map<String, JobState> jobs = new LinkedHashMap<>();
    private final EndedJobs ended = new EndedJobs();
    /** Jobs whose end is durable and of which tasks are still on runners or changes are not. */
    private final Set<JobState> ending = new LinkedHashSet<>();

    private final ReadySteps ready = new ReadySteps();
    private final Set<StepState> scheduled = new LinkedHashSet<>();
    private final OccurrenceSchedule schedule = new OccurrenceSchedule();
    private final List<JobState> exhausted = new ArrayList<>();
    private final PendingChanges pendingChanges;
    private final JobRestorer restorer;
    private final StateLimit limit;
    private final DispatchListener listener;
    private final PlacementCounts placementCounts = new PlacementCounts();
    private final JobOutcomes outcomes;
    private QueueCatalogue catalogue = new QueueCatalogue(0, List.of());

    JobTable(PendingChanges pendingChanges, StateLimit limit, DispatchListener listener) {
        this.pendingChanges = pendingChanges;
        this.restorer = new JobRestorer(pendingChanges, listener);
        this.limit = limit;
        this.listener = listener;
        this.outcomes = new JobOutcomes(listener);
    }

    Collection<JobState> all() {
        return jobs.values();
    }

    /** Returns the memory that the jobs take at present. */
    StateSize stateSize() {
        return limit.stateSize();
    }

    PlacementCounts placementCounts() {
        return placementCounts;
    }

    /** Returns the ready steps; some may belong to ended jobs. */
    Collection<StepState> ready() {
        return ready.all();
    }

    /** Returns the jobs that have ended and left the table. */
    EndedJobs ended() {
        return ended;
    }

    Optional<JobState> get(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    Optional<TaskState> task(TaskName name) {
        JobState job = jobs.get(name.jobId());
        if (job == null || !job.contains(name.occurrence(), name.step(), name.index())) {
            return Optional.empty();
        }
        if (job.isComplete(name.occurrence())) {
            return Optional.of(job.completedTask(name.occurrence(), name.step(), name.index()));
        }
        return Optional.of(
                open(job, name.occurrence()).steps.get(name.step()).tasks.get(name.index()));
    }

    void setCatalogue(QueueCatalogue newCatalogue) {
        catalogue = newCatalogue;
        for (JobState job : jobs.values()) {
            if (job.status.isFinal()) {
                continue;
            }
            boolean termsUnknown = job.terms.isEmpty();
            applyPolicy(job);
            if (termsUnknown && job.exhausted()) {
                exhausted.add(job);
            }
        }
    }

    /** Takes the jobs that had failed for the last time before their terms were known. */
    List<JobState> takeExhausted() {
        List<JobState> taken = new ArrayList<>(exhausted);
        exhausted.clear();
        return taken;
    }

    private void applyPolicy(JobState job) {
        Optional<QueuePolicy> found = catalogue.named(job.request.queue());
        if (found.isEmpty()) {
            // The job goes on under the terms that it has.
            setObjective(job);
            return;
        }
        job.terms = Optional.of(JobTerms.of(found.get()));
        job.service = found.get().service();
        setObjective(job);
    }

    private static void setObjective(JobState job) {
        job.objectiveMs = job.terms
                .map(terms -> terms.objectiveMs(job.request.criticalPathMs()))
                .orElse(DEFAULT_OBJECTIVE_MS);
    }

    /** Returns whether a job is there, also if it has ended. */
    boolean contains(String id) {
        return jobs.containsKey(id) || ended.status(id).isPresent();
    }

    /**
     * Adds a job by its stored progress alone, if that shows that it has ended and left nothing to be done.
     *
     * @return whether the job was added
     */
    boolean addEnded(String id, JobRecord record, long nowMs) {
        boolean complete = record.status().isFinal()
                && record.furtherRows().isEmpty()
                && record.tasks().isEmpty();
        if (!complete || !EndedJobs.isJobId(id)) {
            return false;
        }
        if (!contains(id)) {
            ended.add(id, record.status(), nowMs);
        }
        return true;
    }

    /**
     * Adds a job; has no effect if the job exists. One that has not begun and need not be kept is deferred where there is
     * no room for it.
     */
    void add(JobRequest request, Optional<JobRecord> record, boolean keep, Fleet fleet, long nowMs) {
        if (contains(request.id()) || !makeRoom(request, keep || record.isPresent())) {
            return;
        }
        if (!EndedJobs.isJobId(request.id())) {
            throw new IllegalArgumentException("not the identity of a job: " + request.id());
        }
        JobState job = new JobState(request, nowMs);
        jobs.put(request.id(), job);
        limit.kept(job, record.isPresent());
        applyPolicy(job);
        if (record.isPresent()) {
            restorer.restore(job, record.get(), fleet, nowMs);
        }
        if (job.status.isFinal()) {
            job.finalAtMs = nowMs;
            ending.add(job);
            return;
        }
        for (StepState step : job.openSteps()) {
            makeReadyIfUnblocked(step, nowMs);
        }
        schedule.add(job);
        if (record.isPresent()) {
            JobRestorer.inheritWaits(job, nowMs);
        }
        finishIfComplete(job, nowMs);
    }

    /** Makes room for a job by deferring less urgent ones; returns false if the job itself is deferred. */
    private boolean makeRoom(JobRequest request, boolean begun) {
        while (!limit.hasRoomFor(request)) {
            Optional<JobState> lessUrgent = limit.leastUrgent(request, begun);
            if (lessUrgent.isEmpty()) {
                break;
            }
            drop(lessUrgent.get());
            defer(lessUrgent.get().request);
        }
        if (begun || limit.hasRoomFor(request)) {
            return true;
        }
        defer(request);
        return false;
    }

    private void defer(JobRequest request) {
        if (!limit.deferred().contains(request.id())) {
            limit.defer(request);
            listener.jobDeferred(request.id(), limit.deferred().size());
        }
    }

    /** Removes a job from the table. */
    private void drop(JobState job) {
        jobs.remove(job.request.id());
        job.openSteps().forEach(ready::remove);
        job.openSteps().forEach(scheduled::remove);
        schedule.remove(job);
        limit.removed(job);
    }

    /** Makes a step ready if its preceding steps are complete; a step of a scheduled job waits until it is due. */
    private void makeReadyIfUnblocked(StepState step, long nowMs) {
        if (isBlocked(step)) {
            return;
        }
        if (step.job.request.schedule().isScheduled()) {
            scheduled.add(step);
            return;
        }
        makeReady(step, nowMs);
    }

    /** Returns whether a step is ready or complete already, or one before it is not complete. */
    private static boolean isBlocked(StepState step) {
        if (step.ready || step.complete()) {
            return true;
        }
        for (int before : step.spec.predecessors()) {
            if (before >= 0
                    && before < step.number
                    && !step.occurrence.steps.get(before).complete()) {
                return true;
            }
        }
        return false;
    }

    private void makeReady(StepState step, long nowMs) {
        step.ready = true;
        step.readySinceMs = nowMs;
        step.othersPlacedWhenReady = placementCounts.ofOtherSteps(step);
        for (TaskState task : step.tasks) {
            beginWait(task, nowMs);
            task.withoutRunSinceMs = nowMs;
        }
        ready.add(step);
    }

    /** Records that a task can be placed from now on. */
    void beginWait(TaskState task, long nowMs) {
        task.readySinceMs = nowMs;
        task.othersPlacedWhenReady = placementCounts.ofOtherSteps(task.step);
    }

    private OccurrenceState open(JobState job, int index) {
        boolean opened = !job.isOpen(index);
        OccurrenceState occurrence = job.open(index);
        if (opened) {
            scheduleUnblockedSteps(occurrence);
        }
        return occurrence;
    }

    private void scheduleUnblockedSteps(OccurrenceState occurrence) {
        for (StepState step : occurrence.steps) {
            if (!isBlocked(step)) {
                scheduled.add(step);
            }
        }
    }

    /** Opens the occurrences that are due by the wall clock, a bounded number in a turn. */
    private void openDueOccurrences(long wallMs) {
        int openedSteps = 0;
        while (openedSteps < MAX_OPENED_STEPS_PER_TURN) {
            Optional<OccurrenceState> opened = schedule.openNextDue(wallMs);
            if (opened.isEmpty()) {
                return;
            }
            scheduleUnblockedSteps(opened.get());
            openedSteps += opened.get().steps.size();
        }
    }

    /** Opens the occurrences that are due by the wall clock and makes their steps ready. */
    void makeDueStepsReady(long wallMs, long nowMs) {
        openDueOccurrences(wallMs);
        for (StepState step : new ArrayList<>(scheduled)) {
            if (step.job.status.isFinal()) {
                scheduled.remove(step);
                continue;
            }
            long overdueMs = wallMs - step.job.request.schedule().dueMs(step.occurrence.index);
            if (overdueMs >= 0) {
                step.occurrence.setDueMs(nowMs - overdueMs);
                scheduled.remove(step);
                makeReady(step, nowMs);
            }
        }
    }

    /** Returns the ready steps with placeable tasks that a round considers, most urgent first. */
    List<StepState> readySteps(long nowMs) {
        return ready.next(nowMs);
    }

    /**
     * Returns the steps of queues with advice that have waiting tasks: the ready ones by urgency, those with overdue
     * tasks before or after all others, then the scheduled ones.
     */
    List<StepState> stepsNeedingAdvice(long nowMs, boolean overdueFirst) {
        List<StepState> overdue = new ArrayList<>();
        List<StepState> others = new ArrayList<>();
        for (StepState step : readySteps(nowMs)) {
            if (step.job.advice().isPresent()) {
                (CapacityReservations.hasOverdueTask(step, nowMs) ? overdue : others).add(step);
            }
        }
        List<StepState> steps = new ArrayList<>(overdueFirst ? overdue : others);
        steps.addAll(overdueFirst ? others : overdue);
        for (StepState step : scheduled) {
            if (step.job.advice().isPresent() && !step.job.status.isFinal()) {
                steps.add(step);
            }
        }
        return steps;
    }

    void markTaskDone(TaskState task, long nowMs) {
        StepState step = task.step;
        task.phase = TaskState.Phase.DONE;
        task.release();
        step.retire(task);
        pendingChanges.changed(task);
        if (!step.complete()) {
            return;
        }
        ready.remove(step);
        List<StepState> steps = step.occurrence.steps;
        for (int i = step.number + 1; i < steps.size(); i++) {
            makeReadyIfUnblocked(steps.get(i), nowMs);
        }
        step.job.closeIfComplete(step.occurrence);
        schedule.onComplete(step.job);
        finishIfComplete(step.job, nowMs);
    }

    private void finishIfComplete(JobState job, long nowMs) {
        if (!job.status.isFinal() && job.complete()) {
            finish(job, JobStatus.DONE, nowMs);
        }
    }

    void finish(JobState job, JobStatus status, long nowMs) {
        job.status = status;
        job.finalAtMs = nowMs;
        pendingChanges.changed(job);
        listener.statusChanged(job.request.id(), status);
        outcomes.ended(job, nowMs);
    }

    /** Reports the jobs whose completion has lost its value. */
    void reportOutcomes(long nowMs) {
        outcomes.tick(jobs.values(), nowMs);
    }

    /** Records that the final state of a job is durable; the job leaves the table once nothing of it is left to do. */
    void endRecorded(JobState job) {
        ending.add(job);
    }

    /**
     * Lets the jobs leave the table whose end is durable and of which no task is on a runner.
     *
     * @return the identities of these jobs
     */
    List<String> retireEnded() {
        List<String> retired = new ArrayList<>();
        Iterator<JobState> jobsEnding = ending.iterator();
        while (jobsEnding.hasNext()) {
            JobState job = jobsEnding.next();
            if (!job.recordedStatus.isFinal() || pendingChanges.contains(job) || job.hasTasksOnRunners()) {
                continue;
            }
            jobsEnding.remove();
            drop(job);
            ended.add(job.request.id(), job.recordedStatus, job.finalAtMs);
            retired.add(job.request.id());
        }
        return retired;
    }

    Map<String, Integer> waitingByQueue() {
        Map<String, Integer> waiting = new LinkedHashMap<>();
        for (JobState job : jobs.values()) {
            if (job.status == JobStatus.QUEUED) {
                waiting.merge(job.request.queue(), 1, Integer::sum);
            }
        }
        limit.deferred().addTo(waiting);
        return waiting;
    }
}
