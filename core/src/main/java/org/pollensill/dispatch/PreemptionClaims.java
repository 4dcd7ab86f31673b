package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Withholds capacity of runners for the waiting tasks for which it is being freed. Without a claim the room that one
 * preempted task leaves goes to whatever fits first, and a task that needs the room of several never finds it whole.
 */
final class PreemptionClaims {

    /** Maximum duration of a claim: a stop, the report of its end and a commit, with time for one repeated order. */
    static final long MAX_CLAIM_MS = 1_500;

    /** A runner with capacity that is withheld for a task, and since when. */
    record Claim(RunnerState runner, long sinceMs) {}

    private final RunnerSelector runnerSelector;
    private final Map<TaskState, Claim> claims = new LinkedHashMap<>();

    PreemptionClaims(RunnerSelector runnerSelector) {
        this.runnerSelector = runnerSelector;
    }

    /** Withholds what a task needs on a runner. */
    void add(TaskState task, RunnerState runner, long nowMs) {
        restore(task, new Claim(runner, nowMs));
    }

    /** Withholds again what an earlier claim withheld. */
    void restore(TaskState task, Claim claim) {
        claims.put(task, claim);
        task.claimedRunner = claim.runner();
        claim.runner().claimedResources = claim.runner().claimedResources.plus(task.step.spec.reservedResources());
    }

    /** Ends the claim of a task and returns it, empty where there was none. */
    Optional<Claim> release(TaskState task) {
        Claim claim = claims.remove(task);
        if (claim == null) {
            return Optional.empty();
        }
        task.claimedRunner = null;
        RunnerState runner = claim.runner();
        runner.claimedResources = runner.claimedResources.minus(task.step.spec.reservedResources());
        return Optional.of(claim);
    }

    /** Ends the claims of tasks that no longer wait, and those that are of no use or too old. */
    void releaseInvalid(long nowMs) {
        List<TaskState> invalid = new ArrayList<>();
        for (Map.Entry<TaskState, Claim> entry : claims.entrySet()) {
            TaskState task = entry.getKey();
            Claim claim = entry.getValue();
            boolean waits = task.phase == TaskState.Phase.WAITING && !task.step.job.status.isFinal();
            boolean expired = nowMs - claim.sinceMs() >= MAX_CLAIM_MS;
            if (expired) {
                claim.runner().claimPauseEndMs = nowMs + MAX_CLAIM_MS;
            }
            if (!waits || expired || !runnerSelector.isEligible(task, claim.runner(), nowMs)) {
                invalid.add(task);
            }
        }
        invalid.forEach(this::release);
    }
}
