package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

import org.pollensill.adapter.ClientCodec;
import org.pollensill.admission.AdmissionDecision;
import org.pollensill.admission.JobAdmission;
import org.pollensill.admission.JobMemory;
import org.pollensill.admission.MemoryAccount;
import org.pollensill.admission.MemoryAdmission;
import org.pollensill.admission.OutageDelay;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobStatus;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.leader.LeaderRow;
import org.pollensill.queue.QueuePolicy;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.HttpHandler;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;

/** HTTP endpoint for clients: submits, queries and cancels jobs. */
final class JobEndpoint implements HttpHandler {

    private static final EventLog LOG = EventLog.of(JobEndpoint.class);
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");

    /** Deadline of a request that does not specify one. */
    private static final long DEFAULT_DEADLINE_MS = 3_000;

    /** Time of a client's deadline that is reserved for the transmission of the response, and its largest part. */
    private static final long RESPONSE_RESERVE_MS = 150;

    private static final int MIN_RESERVES_PER_DEADLINE = 4;

    private static final long RETRY_DELAY_MS = 100;

    /** Time after which a client comes back to a coordinator that knows no configuration or no leader yet. */
    private static final int RETRY_AFTER_S = 1;

    private final CoordinatorLoop loop;
    private final StoreHealth health;
    private final ConfigWatcher config;
    private final LeaderElector elector;
    private final Peers peers;
    private final IntakeWriter intakeWriter;
    private final JobStateReader stateReader;
    private final JobCanceller canceller;
    private final CoordinatorMetrics metrics;
    private final Optional<JobAdmission> admission;
    private final MemoryAccount account;
    private final MemoryAdmission memoryAdmission = new MemoryAdmission(new SplittableRandom());
    private final OutageDelay outageDelay = new OutageDelay(new SplittableRandom());

    JobEndpoint(
            CoordinatorContext context,
            ConfigWatcher config,
            LeaderElector elector,
            Peers peers,
            MemoryAccount account,
            IntakeWriter intakeWriter,
            JobCanceller canceller) {
        this.loop = context.loop();
        this.health = context.health();
        this.config = config;
        this.elector = elector;
        this.peers = peers;
        this.account = account;
        this.intakeWriter = intakeWriter;
        this.stateReader = new JobStateReader(context.store(), context.health());
        this.canceller = canceller;
        this.metrics = context.metrics();
        this.admission = context.settings()
                .admissionLatenessFactor()
                .map(factor -> new JobAdmission(factor, new SplittableRandom()));
    }

    @Override
    public void handle(Request request, Responder responder) {
        if (config.current().isEmpty()) {
            responder.answer(serviceUnavailable());
            return;
        }
        String host = request.headers().get("Host").orElse("").replaceFirst(":[0-9]+$", "");
        Optional<QueuePolicy> queue = config.current().get().match(host, request.path());
        if (queue.isEmpty()) {
            responder.answer(Answer.of(404));
            return;
        }
        String id = request.path().substring(queue.get().pathPrefix().length());
        if (id.isEmpty() && request.method().equals("GET")) {
            answer("waiting", responder, waitingJobCount(queue.get()));
            return;
        }
        if (!JOB_ID.matcher(id).matches()) {
            responder.answer(Answer.of(404));
            return;
        }
        long deadlineMs = loop.nowMs() + workingTimeMs(ClientCodec.deadlineMs(request.headers(), DEFAULT_DEADLINE_MS));
        switch (request.method()) {
            case "POST":
                submit(id, queue.get(), request, responder, deadlineMs);
                return;
            case "GET":
                queryState(id, responder, deadlineMs);
                return;
            case "DELETE":
                cancel(id, responder, deadlineMs);
                return;
            default:
                responder.answer(Answer.of(405));
        }
    }

    /** Returns the time in which a client's request has to be answered; one that is near its deadline keeps most of it. */
    static long workingTimeMs(long clientWaitsMs) {
        return clientWaitsMs - Math.min(RESPONSE_RESERVE_MS, clientWaitsMs / MIN_RESERVES_PER_DEADLINE);
    }

    private void answer(String call, Responder responder, Answer answer) {
        metrics.request(call, answer.status());
        responder.answer(answer);
    }

    private static Answer serviceUnavailable() {
        return retryLater(503, RETRY_AFTER_S);
    }

    private static Answer retryLater(int status, int retryAfterS) {
        return Answer.of(status).withHeader("Retry-After", Integer.toString(retryAfterS));
    }

    private Answer waitingJobCount(QueuePolicy queue) {
        Optional<Integer> localResult = elector.session().flatMap(session -> session.waitingJobs(queue.name()));
        if (localResult.isPresent()) {
            return ClientCodec.waitingAnswer(localResult.get());
        }
        Optional<LeaderRow> leader = elector.leader();
        // Neither a leader that is still loading nor its row knows what waits.
        if (elector.session().isPresent() || leader.isEmpty() || leader.get().loading()) {
            return serviceUnavailable();
        }
        return ClientCodec.waitingAnswer(leader.get().waitingJobs().getOrDefault(queue.name(), 0));
    }

    private void submit(String id, QueuePolicy queue, Request request, Responder responder, long deadlineMs) {
        JobRequest job;
        try {
            job = ClientCodec.decodeJob(id, queue, request.body(), loop.wallClockMs());
        } catch (JsonSyntaxException e) {
            logRefusal(id, queue, e.getMessage());
            answer("submit", responder, Answer.of(400));
            return;
        }
        if (!health.available()) {
            int retryAfterS = outageDelay.retryAfterS(health.outageMs(), deadlineMs - loop.nowMs());
            logRefusal(id, queue, "store lost", "retryAfterS", retryAfterS);
            answer("submit", responder, retryLater(503, retryAfterS));
            return;
        }
        if (!MemoryAdmission.canEverFit(job)) {
            logRefusal(id, queue, "exceeds the memory of a leader", "bytes", JobMemory.maxBytes(job));
            answer("submit", responder, Answer.of(400));
            return;
        }
        Optional<AdmissionDecision> rejection = admission
                .map(decides -> decides.decide(job, elector.forecast()))
                .filter(decision -> !decision.accepted());
        if (rejection.isPresent()) {
            rejectUnlessStored(id, queue, rejection.get(), responder);
            return;
        }
        hasMemory(job).thenAccept(granted -> {
            if (granted) {
                store(job, queue, responder, deadlineMs);
            } else {
                rejectUnlessStored(id, queue, memoryAdmission.rejection(), responder);
            }
        });
    }

    /** Returns whether there is memory for a job: in the credit of this coordinator, or else granted by the leader. */
    private CompletableFuture<Boolean> hasMemory(JobRequest job) {
        if (MemoryAdmission.isFull(elector.forecast())) {
            return CompletableFuture.completedFuture(false);
        }
        elector.credit().ifPresent(credit -> account.update(credit, loop.nowMs()));
        long bytes = JobMemory.maxBytes(job);
        if (account.charge(job.id(), bytes)) {
            return CompletableFuture.completedFuture(true);
        }
        return elector.session()
                .map(session -> CompletableFuture.completedFuture(session.grantMemory(job.id(), bytes)))
                .orElseGet(() -> peers.grantMemory(job.id(), bytes));
    }

    private void rejectUnlessStored(String id, QueuePolicy queue, AdmissionDecision rejection, Responder responder) {
        // A job of which an earlier attempt is stored runs, so it cannot be said not to.
        stateReader.read(id).whenComplete((state, failure) -> {
            if (failure != null) {
                LOG.log(CoordinatorEvent.JOB_UNCERTAIN, "job", id, "queue", queue.name(), "reason", rejection.reason());
                answer("submit", responder, Answer.of(504));
            } else if (state.isPresent()) {
                answer("submit", responder, Answer.of(200));
            } else {
                reject(id, queue, rejection, responder);
            }
        });
    }

    private static void logRefusal(String id, QueuePolicy queue, String reason, Object... details) {
        List<Object> fields = new ArrayList<>(List.of("job", id, "queue", queue.name(), "reason", reason));
        fields.addAll(List.of(details));
        LOG.log(CoordinatorEvent.JOB_REFUSED, fields.toArray());
    }

    private void reject(String id, QueuePolicy queue, AdmissionDecision decision, Responder responder) {
        logRefusal(
                id,
                queue,
                decision.reason().name(),
                "forecastMs",
                decision.forecastMs(),
                "retryAfterS",
                decision.retryAfterS());
        answer("submit", responder, retryLater(429, decision.retryAfterS()));
    }

    private void store(JobRequest job, QueuePolicy queue, Responder responder, long deadlineMs) {
        String id = job.id();
        long receivedMs = loop.nowMs();
        intakeWriter.store(job, deadlineMs).thenAccept(outcome -> {
            long tookMs = loop.nowMs() - receivedMs;
            switch (outcome) {
                case STORED:
                    LOG.log(CoordinatorEvent.JOB_ACCEPTED, "job", id, "queue", queue.name(), "tookMs", tookMs);
                    answer("submit", responder, Answer.of(200));
                    return;
                case NOT_STORED:
                    account.release(id);
                    int retryAfterS = outageDelay.retryAfterS(health.outageMs(), deadlineMs - loop.nowMs());
                    logRefusal(id, queue, "store refused", "tookMs", tookMs, "retryAfterS", retryAfterS);
                    answer("submit", responder, retryLater(503, retryAfterS));
                    return;
                case REJECTED:
                    account.release(id);
                    logRefusal(id, queue, "too large");
                    answer("submit", responder, Answer.of(413));
                    return;
                default:
                    account.unknown(id, loop.nowMs());
                    LOG.log(CoordinatorEvent.JOB_UNCERTAIN, "job", id, "queue", queue.name(), "tookMs", tookMs);
                    answer("submit", responder, Answer.of(504));
            }
        });
    }

    private void queryState(String id, Responder responder, long deadlineMs) {
        Optional<JobStatus> localResult = elector.session().flatMap(session -> session.status(id));
        if (localResult.isPresent()) {
            answer("show", responder, ClientCodec.statusAnswer(localResult.get()));
            return;
        }
        peers.jobStatus(id).thenAccept(leaderState -> {
            if (leaderState.isPresent()) {
                answer("show", responder, ClientCodec.statusAnswer(leaderState.get()));
                return;
            }
            queryStoredState(id, responder, deadlineMs);
        });
    }

    private void queryStoredState(String id, Responder responder, long deadlineMs) {
        stateReader.read(id).whenComplete((status, failure) -> {
            if (failure == null) {
                answer("show", responder, status.map(ClientCodec::statusAnswer).orElse(Answer.of(410)));
                return;
            }
            if (loop.nowMs() + RETRY_DELAY_MS < deadlineMs) {
                loop.schedule(RETRY_DELAY_MS, () -> queryState(id, responder, deadlineMs));
                return;
            }
            LOG.log(CoordinatorEvent.JOB_QUERY_FAILED, "job", id, "problem", failure.getMessage());
            answer("show", responder, serviceUnavailable());
        });
    }

    private void cancel(String id, Responder responder, long deadlineMs) {
        canceller.cancel(id, deadlineMs).thenAccept(outcome -> {
            switch (outcome) {
                case CANCELLED:
                    answer("cancel", responder, Answer.of(200));
                    return;
                case UNKNOWN_JOB:
                    answer("cancel", responder, Answer.of(410));
                    return;
                case NOT_STORED:
                    answer("cancel", responder, serviceUnavailable());
                    return;
                default:
                    answer("cancel", responder, Answer.of(504));
            }
        });
    }
}
