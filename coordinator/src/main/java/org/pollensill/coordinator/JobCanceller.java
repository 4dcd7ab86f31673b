package org.pollensill.coordinator;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.pollensill.job.JobStatus;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.TableService;
import org.pollensill.platform.Write;
import org.pollensill.runtime.event.EventLog;

/**
 * Cancels jobs by a row beside that of the job. The row is written for a job that is not stored, too: its submission may
 * still be carried out by the store, and a job that comes after its cancellation does not run.
 */
final class JobCanceller {

    private static final EventLog LOG = EventLog.of(JobCanceller.class);

    private static final long RETRY_DELAY_MS = 100;

    /** The outcome of a cancellation. */
    enum Outcome {
        /** The job is stored and has ended, or its cancellation is stored. */
        CANCELLED,
        /** No such job is stored, and one that comes does not run. */
        UNKNOWN_JOB,
        /** The cancellation is not stored. */
        NOT_STORED,
        /** The cancellation may be stored, or a call in flight may still store it. */
        UNCERTAIN
    }

    private final LongSupplier clockMs;
    private final Timer timer;
    private final TableService store;
    private final StoreHealth health;
    private final JobStateReader stateReader;

    /**
     * Creates a canceller.
     *
     * @param clockMs the monotonic clock
     * @param timer runs an action after a delay
     * @param store the platform's store
     * @param health tracks the outcome of the calls
     * @param stateReader reads the state of jobs from the store
     */
    JobCanceller(
            LongSupplier clockMs, Timer timer, TableService store, StoreHealth health, JobStateReader stateReader) {
        this.clockMs = Objects.requireNonNull(clockMs, "clockMs is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.health = Objects.requireNonNull(health, "health is null");
        this.stateReader = Objects.requireNonNull(stateReader, "stateReader is null");
    }

    /**
     * Cancels a job.
     *
     * @param id the job
     * @param deadlineMs the monotonic time after which a failed call is not repeated
     * @return the outcome; never fails
     */
    CompletableFuture<Outcome> cancel(String id, long deadlineMs) {
        CompletableFuture<Outcome> result = new CompletableFuture<>();
        attempt(id, deadlineMs, false, result);
        return result;
    }

    private void attempt(String id, long deadlineMs, boolean mayBeStored, CompletableFuture<Outcome> result) {
        stateReader.read(id).thenCompose(status -> store(id, status)).whenComplete((outcome, failure) -> {
            if (failure == null && outcome.isPresent()) {
                LOG.log(CoordinatorEvent.JOB_CANCELLED, "job", id, "outcome", outcome.get());
                result.complete(outcome.get());
                return;
            }
            boolean uncertain = mayBeStored
                    || failure != null && PlatformException.effectOf(failure) == PlatformException.Effect.UNKNOWN;
            if (clockMs.getAsLong() + RETRY_DELAY_MS < deadlineMs) {
                timer.schedule(RETRY_DELAY_MS, () -> attempt(id, deadlineMs, uncertain, result));
                return;
            }
            String problem = failure == null ? "stored meanwhile" : failure.getMessage();
            LOG.log(CoordinatorEvent.JOB_QUERY_FAILED, "job", id, "problem", problem);
            result.complete(uncertain ? Outcome.UNCERTAIN : Outcome.NOT_STORED);
        });
    }

    /** Stores the cancellation of a job; the result is empty if the job was stored after the read of its state. */
    private CompletableFuture<Optional<Outcome>> store(String id, Optional<JobStatus> status) {
        if (status.isPresent() && status.get().isFinal()) {
            return CompletableFuture.completedFuture(Optional.of(Outcome.CANCELLED));
        }
        List<Condition> conditions = status.isPresent() ? List.of() : List.of(Condition.absent(Tables.jobKey(id)));
        Commit commit = new Commit("cancel-" + id, conditions, List.of(Write.put(Tables.cancelKey(id), "{}")));
        return health.track(store.commit(commit)).thenApply(outcome -> {
            if (outcome instanceof CommitOutcome.Conflicted) {
                return Optional.empty();
            }
            return Optional.of(status.isPresent() ? Outcome.CANCELLED : Outcome.UNKNOWN_JOB);
        });
    }
}
