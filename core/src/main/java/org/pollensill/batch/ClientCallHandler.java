package org.pollensill.batch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Handles client calls. Submissions, cancellations and ends of jobs are reported only once they are durable. */
final class ClientCallHandler {

    /** Changes are refused while a commit takes longer than this, since their answers would arrive too late. */
    private static final long MAX_COMMIT_AGE_NS = 3_000_000_000L;

    /** Time after which a client gets the answer that the change or the cancellation is not yet confirmed. */
    private static final long ANSWER_TIMEOUT_NS = 10_000_000_000L;

    /** Number of ended jobs that are kept for clients and for repeated idempotency keys. */
    private static final int MAX_ENDED_JOBS = 5_000;

    private static final long REMOVAL_INTERVAL_NS = 10_000_000_000L;

    private record PendingAnswer(
            long callId, long position, Optional<Job> cancelled, Supplier<ClientAnswer> answer, long receivedNs) {}

    private final ShardContext context;
    private final RunTable runs;
    private long lastRemovalNs = Long.MIN_VALUE / 2;
    private final List<PendingAnswer> pendingAnswers = new ArrayList<>();

    ClientCallHandler(ShardContext context, RunTable runs) {
        this.context = context;
        this.runs = runs;
    }

    void call(long callId, ClientCall call, long nowNs) {
        if (call instanceof ClientCall.Submit submit) {
            submit(callId, submit, nowNs);
        } else if (call instanceof ClientCall.Cancel cancel) {
            cancel(callId, cancel, nowNs);
        } else if (call instanceof ClientCall.Show show) {
            answer(
                    callId,
                    context.state
                            .job(show.jobId())
                            .<ClientAnswer>map(job -> new ClientAnswer.Shown(view(job)))
                            .orElseGet(() -> new ClientAnswer.NotFound("job " + show.jobId())));
        } else if (call instanceof ClientCall.ListJobs list) {
            answer(callId, list(list));
        } else if (call instanceof ClientCall.Explain explain) {
            answer(
                    callId,
                    context.state
                            .task(explain.task())
                            .<ClientAnswer>map(task -> new ClientAnswer.Explained(view(task)))
                            .orElseGet(() -> new ClientAnswer.NotFound("task " + explain.task())));
        }
    }

    private void submit(long callId, ClientCall.Submit submit, long nowNs) {
        Optional<Job> existing = context.state.jobByKey(submit.spec());
        if (existing.isPresent() && !existing.get().spec().equals(submit.spec())) {
            answer(callId, new ClientAnswer.KeyTaken(existing.get().id()));
            return;
        }
        if (existing.isPresent()) {
            whenDurable(callId, Optional.empty(), () -> new ClientAnswer.Submitted(view(existing.get()), false), nowNs);
            return;
        }
        if (refuseIfStoreIsSlow(callId, nowNs)) {
            return;
        }
        String id = "j" + context.path.shard() + "-" + context.state.nextJobNumber();
        context.append(new LogRecord.Submitted(id, submit.submittedMs(), submit.spec()));
        Job job = context.state.job(id).orElseThrow();
        whenDurable(callId, Optional.empty(), () -> new ClientAnswer.Submitted(view(job), true), nowNs);
    }

    private void cancel(long callId, ClientCall.Cancel cancel, long nowNs) {
        Optional<Job> existing = context.state.job(cancel.jobId());
        if (existing.isEmpty()) {
            answer(callId, new ClientAnswer.NotFound("job " + cancel.jobId()));
            return;
        }
        Job job = existing.get();
        if (job.state() == JobState.ACTIVE) {
            if (refuseIfStoreIsSlow(callId, nowNs)) {
                return;
            }
            context.append(new LogRecord.JobEnded(job.id(), JobState.CANCELLED, cancel.reason()));
        }
        whenDurable(callId, Optional.of(job), () -> new ClientAnswer.Cancelled(view(job)), nowNs);
    }

    private boolean refuseIfStoreIsSlow(long callId, long nowNs) {
        boolean slow = context.log.commitAgeNs(nowNs) > MAX_COMMIT_AGE_NS;
        if (slow) {
            answer(callId, new ClientAnswer.Unavailable("the store does not answer"));
        }
        return slow;
    }

    private void whenDurable(long callId, Optional<Job> cancelled, Supplier<ClientAnswer> answer, long nowNs) {
        pendingAnswers.add(new PendingAnswer(callId, context.log.position(), cancelled, answer, nowNs));
    }

    void tick(long nowNs) {
        Iterator<PendingAnswer> iterator = pendingAnswers.iterator();
        while (iterator.hasNext()) {
            PendingAnswer pending = iterator.next();
            boolean durable = pending.position() <= context.log.committedPosition();
            boolean startPossible = pending.cancelled().map(this::mayStillStart).orElse(false);
            if (durable && !startPossible) {
                answer(pending.callId(), pending.answer().get());
                iterator.remove();
            } else if (nowNs - pending.receivedNs() >= ANSWER_TIMEOUT_NS) {
                answer(
                        pending.callId(),
                        durable
                                ? new ClientAnswer.Cancelling(
                                        view(pending.cancelled().orElseThrow()))
                                : new ClientAnswer.Unknown("the store has not confirmed the change"));
                iterator.remove();
            }
        }
    }

    /** Returns whether a start that was sent earlier may still take effect. */
    private boolean mayStillStart(Job job) {
        if (job.placedTasks() == 0) {
            return false;
        }
        return runs.runs().stream().anyMatch(run -> run.task.job() == job && run.mayStartLater());
    }

    /** Answers all pending calls with an unknown outcome, since this process can no longer confirm them. */
    void ownershipLost() {
        pendingAnswers.forEach(
                pending -> answer(pending.callId(), new ClientAnswer.Unknown("the shard has moved to another owner")));
        pendingAnswers.clear();
    }

    /** Removes the oldest ended jobs beyond the retention limit. */
    void removeOldJobs(long nowNs) {
        if (nowNs - lastRemovalNs < REMOVAL_INTERVAL_NS) {
            return;
        }
        lastRemovalNs = nowNs;
        if (context.state.jobs().size() <= MAX_ENDED_JOBS) {
            return;
        }
        List<Job> removable = context.state.jobs().stream()
                .filter(job -> job.isEnded() && job.position() <= context.log.committedPosition())
                .toList();
        removable
                .subList(0, Math.max(0, removable.size() - MAX_ENDED_JOBS))
                .forEach(job -> context.append(new LogRecord.JobRemoved(job.id())));
    }

    private ClientAnswer list(ClientCall.ListJobs list) {
        List<Job> matching = new ArrayList<>();
        for (Job job : context.state.jobs()) {
            if (list.team().isEmpty() || list.team().equals(job.spec().team())) {
                matching.add(job);
            }
        }
        List<ClientAnswer.JobView> views = new ArrayList<>();
        for (int i = matching.size() - 1; i >= 0 && views.size() < list.limit(); i--) {
            views.add(view(matching.get(i)));
        }
        return new ClientAnswer.Listed(views);
    }

    private ClientAnswer.JobView view(Job job) {
        boolean durable = job.position() <= context.log.committedPosition();
        JobState state = durable ? job.state() : JobState.ACTIVE;
        int queued = job.queued().size();
        String reason = queued > 0 ? job.waitsFor() : "";
        return new ClientAnswer.JobView(
                job.id(),
                job.spec().key(),
                job.spec().team(),
                state,
                state == JobState.ACTIVE ? reason : job.reason(),
                job.submittedMs(),
                job.tasks().size(),
                queued,
                job.placedTasks(),
                job.endedTasks());
    }

    private ClientAnswer.TaskView view(Task task) {
        return new ClientAnswer.TaskView(
                task.id().toString(),
                task.state(),
                task.attempt(),
                task.worker(),
                task.resumeFrom(),
                task.state() == TaskState.QUEUED ? task.job().waitsFor() : "",
                task.history());
    }

    private void answer(long callId, ClientAnswer answer) {
        context.effects.add(new Effect.Answer(callId, answer));
    }
}
