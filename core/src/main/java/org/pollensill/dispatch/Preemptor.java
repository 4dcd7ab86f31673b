package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.pollensill.dispatch.DispatchListener.Cause;
import org.pollensill.job.Trait;
import org.pollensill.worker.Resources;

/**
 * Preempts long-running tasks in favour of short tasks when the fleet is full. A long-running task yields little value
 * per processor second; it waits until the short tasks have run. A short task may need the capacity of several
 * long-running tasks of one runner; that capacity is claimed for it until it starts.
 */
final class Preemptor {

    /** Maximum fraction of a service's processors whose long-running tasks are away because they were preempted. */
    static final double MAX_PREEMPTED_FRACTION = 0.3;

    /** Time since its placement for which a long-running task is not preempted, since it would have run for nothing. */
    static final long MIN_RUN_MS = 2_000;

    /** Usual time from a stop order until the freed capacity is known: the end of the run, and the report of it. */
    static final long STOP_DURATION_MS = 400;

    /** Delay before another search, over all runners, for a step for which nothing can be preempted. */
    private static final long RETRY_DELAY_MS = 100;

    /** Maximum number of searches over all runners in a round; the most urgent steps come first, the others later. */
    static final int MAX_SEARCHES_PER_ROUND = 3;

    private final Fleet fleet;
    private final RunnerSelector runnerSelector;
    private final ReportHandler reportHandler;
    private final PreemptionClaims claims;
    private final StepAvailability availability;
    private final DispatchListener listener;
    /** Processors that may still be preempted, by service. */
    private final Map<String, Long> budgetMillicores = new HashMap<>();

    private int searchesInRound;

    Preemptor(
            Fleet fleet,
            RunnerSelector runnerSelector,
            ReportHandler reportHandler,
            StepAvailability availability,
            DispatchListener listener) {
        this.fleet = fleet;
        this.runnerSelector = runnerSelector;
        this.reportHandler = reportHandler;
        this.availability = availability;
        this.claims = new PreemptionClaims(runnerSelector);
        this.listener = listener;
    }

    /**
     * A way to make room on a runner.
     *
     * @param runner the runner
     * @param victims the tasks to stop, empty where the stops in progress suffice
     * @param lostMillicores processors of the victims
     */
    private record Eviction(RunnerState runner, List<TaskState> victims, long lostMillicores) {}

    /** Begins a round: ends the claims that are of no use, and counts what is preempted and not running again. */
    void beginRound(List<StepState> readySteps, long nowMs) {
        claims.releaseInvalid(nowMs);
        searchesInRound = 0;
        budgetMillicores.clear();
        for (RunnerState runner : fleet.all()) {
            if (runner.entry.isEmpty() || !runner.listed) {
                continue;
            }
            String service = runner.entry.get().service();
            budgetMillicores.merge(
                    service, (long) (MAX_PREEMPTED_FRACTION * runner.capacity().processorsMillicores()), Long::sum);
            for (TaskState task : runner.tasks.values()) {
                if (task.stopping && task.preempted) {
                    budgetMillicores.merge(service, -task.step.spec.need().processorsMillicores(), Long::sum);
                }
            }
        }
        for (StepState step : readySteps) {
            if (!step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
                continue;
            }
            for (TaskState task : step.tasks) {
                if (task.phase == TaskState.Phase.WAITING && task.preempted) {
                    budgetMillicores.merge(step.job.service, -step.spec.need().processorsMillicores(), Long::sum);
                }
            }
        }
    }

    PreemptionClaims claims() {
        return claims;
    }

    /**
     * Stops long-running tasks so that waiting tasks of a step fit, and claims the capacity for them.
     *
     * @param first a task that fits on no runner and has no claim
     * @param others the further ones of its step
     * @param rack the rack on which they should run, empty for any
     * @param nowMs the time
     */
    void preempt(TaskState first, Iterator<TaskState> others, Optional<String> rack, long nowMs) {
        StepState step = first.step;
        boolean maySearch = searchesInRound < MAX_SEARCHES_PER_ROUND && nowMs >= step.nextPreemptionSearchAtMs;
        if (!maySearch || isBudgetSpent(step)) {
            return;
        }
        searchesInRound++;
        PriorityQueue<Eviction> cheapest = evictions(first, rack, nowMs);
        if (cheapest.isEmpty() && rack.isPresent()) {
            cheapest = evictions(first, Optional.empty(), nowMs);
        }
        for (TaskState task = first; task != null; task = others.hasNext() ? others.next() : null) {
            Optional<Eviction> eviction = takeCheapest(task, cheapest, nowMs);
            if (eviction.isEmpty()) {
                step.nextPreemptionSearchAtMs = nowMs + RETRY_DELAY_MS;
                return;
            }
            if (isBudgetSpent(step)) {
                return;
            }
            budgetMillicores.merge(step.job.service, -eviction.get().lostMillicores(), Long::sum);
            evict(eviction.get(), task, nowMs);
            evictionFor(task, eviction.get().runner(), nowMs).ifPresent(cheapest::add);
        }
    }

    private boolean isBudgetSpent(StepState step) {
        return budgetMillicores.getOrDefault(step.job.service, 0L) <= 0;
    }

    /** Does the same for all members of a gang, unless there can be no room for all of them. */
    void preemptForGang(StepState gang, Optional<String> rack, long nowMs) {
        List<TaskState> unclaimed = new ArrayList<>();
        for (TaskState member : gang.tasks) {
            if (member.claimedRunner == null) {
                unclaimed.add(member);
            }
        }
        if (!unclaimed.isEmpty() && canMakeRoom(unclaimed)) {
            Iterator<TaskState> members = unclaimed.iterator();
            preempt(members.next(), members, rack, nowMs);
        }
    }

    /** Returns whether as many tasks of a step would fit if long-running tasks were stopped within the budget. */
    private boolean canMakeRoom(List<TaskState> waiting) {
        StepState step = waiting.get(0).step;
        Resources need = step.spec.reservedResources();
        long fitting = 0;
        long freeMillicores = 0;
        for (RunnerState runner : fleet.all()) {
            if (runner.entry.isEmpty() || runner.zoneEvacuated || !RunnerSelector.matches(step, runner)) {
                continue;
            }
            Resources kept =
                    runner.reservedResources.minus(runner.longRunningResources).plus(runner.claimedResources);
            fitting += Math.min(waiting.size(), need.fitCount(runner.capacity().minus(kept)));
            freeMillicores += Math.max(0, runner.freeMillicores());
        }
        long lackingMillicores = waiting.size() * need.processorsMillicores() - freeMillicores;
        return fitting >= waiting.size() && lackingMillicores <= budgetMillicores.getOrDefault(step.job.service, 0L);
    }

    /** Returns the ways to make room for a task, one a runner, cheapest first. */
    private PriorityQueue<Eviction> evictions(TaskState waiting, Optional<String> rack, long nowMs) {
        PriorityQueue<Eviction> cheapest = new PriorityQueue<>(Comparator.comparingLong(Eviction::lostMillicores));
        for (RunnerState runner : fleet.all()) {
            boolean onRack = rack.isEmpty()
                    || runner.entry
                            .map(entry -> entry.rack().equals(rack.get()))
                            .orElse(false);
            if (onRack) {
                evictionFor(waiting, runner, nowMs).ifPresent(cheapest::add);
            }
        }
        return cheapest;
    }

    /** Returns the cheapest eviction that is still possible after those before it. */
    private Optional<Eviction> takeCheapest(TaskState task, PriorityQueue<Eviction> cheapest, long nowMs) {
        while (!cheapest.isEmpty()) {
            Eviction candidate = cheapest.poll();
            Optional<Eviction> current = evictionFor(task, candidate.runner(), nowMs);
            if (current.isEmpty()) {
                continue;
            }
            if (current.get().lostMillicores() <= candidate.lostMillicores()) {
                return current;
            }
            cheapest.add(current.get());
        }
        return Optional.empty();
    }

    private void evict(Eviction eviction, TaskState beneficiary, long nowMs) {
        for (TaskState victim : eviction.victims()) {
            victim.preempted = true;
            listener.preempted(victim.name, victim.runner.id, nowMs - victim.startedAtMs, beneficiary.name);
            reportHandler.stop(victim, Cause.PREEMPTED, nowMs);
        }
        claims.add(beneficiary, eviction.runner(), nowMs);
    }

    /** Returns the cheapest way to make room for a task on a runner, empty where there is none. */
    private Optional<Eviction> evictionFor(TaskState waiting, RunnerState runner, long nowMs) {
        // On a fleet with little to preempt this excludes most runners at a fraction of the cost of the other checks.
        long preemptibleMillicores = runner.freeMillicores() + runner.longRunningResources.processorsMillicores();
        if (waiting.step.spec.need().processorsMillicores() > preemptibleMillicores) {
            return Optional.empty();
        }
        // Capacity that is freed on a reserved runner would not go to the waiting task, and a claim that has expired
        // shows a runner that does not carry out its stops.
        boolean withheld = runner.reservedFor != null || nowMs < runner.claimPauseEndMs;
        if (withheld || !runnerSelector.isEligible(waiting, runner, nowMs) || claimsReachLimit(waiting.step, runner)) {
            return Optional.empty();
        }
        Resources capacity = runner.capacity();
        Resources kept = runner.reservedResources
                .minus(runner.stoppingResources())
                .plus(runner.claimedResources)
                .plus(waiting.step.spec.reservedResources());
        // An amount that exceeds the capacity is missing in that dimension.
        Resources missing = kept.minus(capacity);
        if (missing.equals(Resources.NONE)) {
            return Optional.of(new Eviction(runner, List.of(), 0));
        }
        if (!missing.fitsIn(runner.longRunningResources)) {
            return Optional.empty();
        }
        List<TaskState> candidates = new ArrayList<>();
        for (TaskState task : runner.tasks.values()) {
            if (isPreemptible(task, waiting, nowMs)) {
                candidates.add(task);
            }
        }
        return selectVictims(runner, candidates, missing, nowMs);
    }

    /** Returns whether a runner would have the maximum number of tasks of a step once its claims are fulfilled. */
    private static boolean claimsReachLimit(StepState step, RunnerState runner) {
        int maxPerRunner = step.spec.placement().maxPerRunner();
        return maxPerRunner > 0 && step.countOn(runner) + step.countClaimsOn(runner) >= maxPerRunner;
    }

    /** Selects the smallest task that leaves enough room, or else the largest one and so on. */
    private Optional<Eviction> selectVictims(
            RunnerState runner, List<TaskState> candidates, Resources missing, long nowMs) {
        List<TaskState> victims = new ArrayList<>();
        Resources rest = missing;
        long lostMillicores = 0;
        while (!rest.equals(Resources.NONE)) {
            TaskState next = null;
            boolean nextSuffices = false;
            for (TaskState candidate : candidates) {
                Resources freed = candidate.step.spec.reservedResources();
                if (rest.minus(freed).equals(rest) || !toleratesEviction(candidate, victims, nowMs)) {
                    continue;
                }
                boolean suffices = rest.fitsIn(freed);
                boolean smaller = next == null || size(candidate) < size(next);
                if (next == null || suffices && (!nextSuffices || smaller) || !suffices && !nextSuffices && !smaller) {
                    next = candidate;
                    nextSuffices = suffices;
                }
            }
            if (next == null) {
                return Optional.empty();
            }
            candidates.remove(next);
            victims.add(next);
            lostMillicores += size(next);
            rest = rest.minus(next.step.spec.reservedResources());
        }
        return Optional.of(new Eviction(runner, victims, lostMillicores));
    }

    private static long size(TaskState task) {
        return task.step.spec.need().processorsMillicores();
    }

    /** Returns whether the step of a task may miss it, besides the tasks that are already chosen. */
    private boolean toleratesEviction(TaskState task, List<TaskState> chosen, long nowMs) {
        int chosenOfStep = 0;
        for (TaskState other : chosen) {
            chosenOfStep += other.step == task.step ? 1 : 0;
        }
        return availability.tolerableStops(task.step, nowMs) > chosenOfStep;
    }

    private static boolean isPreemptible(TaskState task, TaskState waiting, long nowMs) {
        if (!task.step.spec.hasTrait(Trait.RESTART_ALWAYS) || task.stopping || task.phase != TaskState.Phase.RUNNING) {
            return false;
        }
        // The other members of a gang cannot go on alone, and the gang restarts only as a whole.
        if (nowMs < task.preemptibleFromMs || task.step.spec.hasTrait(Trait.GANG)) {
            return false;
        }
        if (task.run > 1 && nowMs - task.startedAtMs < MIN_RUN_MS) {
            return false;
        }
        JobState job = task.step.job;
        return !job.status.isFinal() && job.terms.isPresent() && job.priority() >= waiting.step.job.priority();
    }
}
