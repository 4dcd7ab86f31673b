package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.admission.LoadForecast;
import org.pollensill.admission.QueuedWork;
import org.pollensill.admission.ServiceForecast;
import org.pollensill.job.Trait;

/** Foresees, at intervals, the room and the work of each service for the coordinators that accept jobs. */
final class LoadForecaster {

    /** Interval between two forecasts. */
    static final long INTERVAL_MS = 250;

    /** Time after the first orders of a leader in which its runners have reported, so that their room is known. */
    static final long FIRST_REPORTS_MS = 3_000;

    /** Part of a runner's processors that long-running tasks yield to short ones. */
    private static final double YIELDED_FRACTION = Preemptor.MAX_PREEMPTED_FRACTION;

    /** Part of a running task that is taken as still to be done. */
    private static final double REMAINING_OF_RUNNING = 0.5;

    private final JobTable jobs;
    private final Fleet fleet;
    private final ArrivalRates arrivals = new ArrivalRates();
    private Optional<Long> firstTickAtMs = Optional.empty();
    private long computedAtMs = Long.MIN_VALUE / 2;
    private Optional<LoadForecast> current = Optional.empty();

    LoadForecaster(JobTable jobs, Fleet fleet) {
        this.jobs = jobs;
        this.fleet = fleet;
    }

    /** Records that a job was accepted. */
    void accepted(JobState job, long nowMs) {
        if (hasObjective(job)) {
            arrivals.accepted(job.service, job.priority(), remainingWork(job), nowMs);
        }
    }

    void tick(long nowMs) {
        if (firstTickAtMs.isEmpty()) {
            firstTickAtMs = Optional.of(nowMs);
        }
        if (nowMs - computedAtMs >= INTERVAL_MS) {
            computedAtMs = nowMs;
            boolean roomKnown = nowMs - firstTickAtMs.get() >= FIRST_REPORTS_MS;
            current = Optional.of(
                    new LoadForecast(jobs.stateSize().measure(jobs.all()), roomKnown ? services(nowMs) : Map.of()));
        }
    }

    /** Returns the last forecast, empty before the first one. */
    Optional<LoadForecast> current() {
        return current;
    }

    private Map<String, ServiceForecast> services(long nowMs) {
        Map<String, Map<Integer, QueuedWork>> work = new LinkedHashMap<>();
        for (JobState job : jobs.all()) {
            if (job.status.isFinal() || !hasObjective(job)) {
                continue;
            }
            int lateness = job.onlyOccurrence().lateness(nowMs);
            long remaining = remainingWork(job);
            long arriving = arrivals.millicores(job.service, job.priority(), nowMs);
            work.computeIfAbsent(job.service, service -> new LinkedHashMap<>())
                    .merge(
                            job.priority(),
                            new QueuedWork(lateness == 0 ? remaining : 0, lateness == 1 ? remaining : 0, arriving),
                            (sum, added) -> new QueuedWork(
                                    sum.inTimeMillicoreMs() + added.inTimeMillicoreMs(),
                                    sum.lateMillicoreMs() + added.lateMillicoreMs(),
                                    arriving));
        }
        Map<String, ServiceForecast> forecasts = new LinkedHashMap<>();
        work.forEach(
                (service, byPriority) -> forecasts.put(service, new ServiceForecast(room(service, nowMs), byPriority)));
        return forecasts;
    }

    private List<Long> room(String service, long nowMs) {
        long[] room = new long[ServiceForecast.SIZE_BOUNDS_MILLICORES.size()];
        for (RunnerState runner : fleet.all()) {
            boolean usable =
                    runner.entry.isPresent() && runner.entry.get().service().equals(service) && runner.accepts(nowMs);
            if (!usable) {
                continue;
            }
            long capacity = runner.capacity().processorsMillicores();
            long yielded = (long) (YIELDED_FRACTION * capacity);
            long usableMillicores =
                    capacity - Math.max(0, runner.longRunningResources.processorsMillicores() - yielded);
            for (int i = 0; i < room.length; i++) {
                long bound = ServiceForecast.SIZE_BOUNDS_MILLICORES.get(i);
                room[i] += usableMillicores / bound * bound;
            }
        }
        List<Long> rooms = new ArrayList<>();
        for (long millicores : room) {
            rooms.add(millicores);
        }
        return rooms;
    }

    /** Returns whether the time until a job is done counts. */
    private static boolean hasObjective(JobState job) {
        if (job.terms.isEmpty() || job.request.schedule().isScheduled()) {
            return false;
        }
        for (StepState step : job.openSteps()) {
            if (step.spec.hasTrait(Trait.RESTART_ALWAYS) || step.spec.hasTrait(Trait.FILLS)) {
                return false;
            }
        }
        return true;
    }

    private static long remainingWork(JobState job) {
        double work = 0;
        for (StepState step : job.openSteps()) {
            int waiting = step.waiting();
            int running = step.tasks.size() - step.done - waiting;
            work += (waiting + REMAINING_OF_RUNNING * running)
                    * step.spec.need().processorsMillicores()
                    * step.spec.estimateMs();
        }
        return (long) work;
    }
}
