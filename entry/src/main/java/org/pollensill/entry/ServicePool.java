package org.pollensill.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

import org.pollensill.contract.AnswerCheck;
import org.pollensill.contract.Attempt;
import org.pollensill.contract.AttemptFailure;
import org.pollensill.contract.OwnerPool;
import org.pollensill.contract.PoolEffect;
import org.pollensill.contract.RequestDescription;
import org.pollensill.error.Failures;
import org.pollensill.platform.Host;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.HttpException;
import org.pollensill.runtime.http.Request;
import org.pollensill.upstream.SlotAllowance;
import org.pollensill.zone.Reservation;
import org.pollensill.zone.RunningWork;

/** Performs the I/O for one service's {@link OwnerPool}: dispatches attempts, checks answers, probes upstreams. */
final class ServicePool {

    private static final EventLog LOG = EventLog.of(ServicePool.class);
    /** Safety net: the pool closes attempts at their execution bound, so this only ends exchanges it does not track. */
    private static final long EXCHANGE_TIMEOUT_MS = 3_600_000;

    private static final long PROBE_TIMEOUT_MS = 1_000;
    private static final String PROBE_PATH = "/healthz";

    private final OwnerPool pool;
    private final HttpClient client;
    private final HttpClient probeClient;
    private final UpstreamOwnership ownership;
    private final LongSupplier clockNs;
    private final RequestTraces traces;
    private final Map<String, ListedUpstream> upstreams = new ConcurrentHashMap<>();
    private final Map<String, SliceGrant> grants = new ConcurrentHashMap<>();
    private final Map<String, PendingRequest> pendingRequests = new ConcurrentHashMap<>();
    private final Map<Attempt, CompletableFuture<Answer>> exchanges = new ConcurrentHashMap<>();
    private final Map<Attempt, Answer> answers = new ConcurrentHashMap<>();

    private record PendingRequest(Request http, ReplyHandler replyHandler) {}

    private record ListedUpstream(Host host, InetSocketAddress address, int slice) {}

    ServicePool(
            OwnerPool pool,
            HttpClient client,
            HttpClient probeClient,
            UpstreamOwnership ownership,
            LongSupplier clockNs,
            RequestTraces traces) {
        this.pool = Objects.requireNonNull(pool, "pool is null");
        this.client = Objects.requireNonNull(client, "client is null");
        this.probeClient = Objects.requireNonNull(probeClient, "probeClient is null");
        this.ownership = Objects.requireNonNull(ownership, "ownership is null");
        this.clockNs = Objects.requireNonNull(clockNs, "clockNs is null");
        this.traces = Objects.requireNonNull(traces, "traces is null");
    }

    /** Returns the pool that makes the decisions. */
    OwnerPool ownerPool() {
        return pool;
    }

    /** Adds or updates an upstream from the host list. */
    void updateUpstream(Host host, InetSocketAddress address) {
        ListedUpstream previous =
                upstreams.put(host.name(), new ListedUpstream(host, address, ownership.slice(host.name())));
        boolean live = host.state() == Host.State.LIVE;
        if (previous == null) {
            LOG.log(EntryEvent.UPSTREAM_ADDED, "upstream", host.name(), "service", host.service());
        }
        if (!live && (previous == null || previous.host().state() == Host.State.LIVE)) {
            LOG.log(EntryEvent.UPSTREAM_LEAVING, "upstream", host.name(), "service", host.service());
        }
        perform(pool.hostStateChanged(host.name(), live, clockNs.getAsLong()));
    }

    /** Applies the current slice grants to the pool. */
    void refreshOwnership() {
        upstreams.values().forEach(this::refreshOwnership);
    }

    private void refreshOwnership(ListedUpstream upstream) {
        long nowNs = clockNs.getAsLong();
        Host host = upstream.host();
        SliceGrant current = ownership.grant(upstream.slice(), nowNs);
        SliceGrant previous = grants.put(host.name(), current);
        if (current.equals(previous)) {
            return;
        }
        if (!current.isOwned()) {
            if (previous != null && previous.isOwned()) {
                perform(pool.removeUpstream(host.name(), nowNs));
                perform(pool.setAllowance(List.of(host.name()), SlotAllowance.NONE, nowNs));
            }
            return;
        }
        boolean added = previous == null || !previous.isOwned();
        boolean reservationChanged = added || !current.reservation().equals(previous.reservation());
        if (reservationChanged && current.reservation().lastDispatchNs().isPresent()) {
            perform(pool.takeOverUpstream(
                    host.name(),
                    host.slots(),
                    host.connections(),
                    current.allowance(),
                    current.reservation().lastDispatchNs().getAsLong(),
                    nowNs));
        } else {
            if (added) {
                // No dispatch is allowed until the reservation has been applied.
                perform(pool.addUpstream(host.name(), host.slots(), host.connections(), SlotAllowance.NONE, nowNs));
            }
            if (reservationChanged && current.reservation().releasedNs().isPresent()) {
                perform(pool.formerOwnerReleased(
                        host.name(), runningByKind(host.name(), current.reservation()), nowNs));
            }
            perform(pool.setAllowance(List.of(host.name()), current.allowance(), nowNs));
        }
        perform(pool.hostStateChanged(host.name(), host.state() == Host.State.LIVE, nowNs));
    }

    private static Map<String, Integer> runningByKind(String upstream, Reservation reservation) {
        Map<String, Integer> counts = new HashMap<>();
        for (RunningWork work : reservation.running()) {
            if (work.resource().equals(upstream)) {
                counts.merge(work.kind(), work.count(), Integer::sum);
            }
        }
        return counts;
    }

    /** Adds the work in progress on a slice's upstreams to a list, for a release to the slice's next owner. */
    void collectRunning(int slice, List<RunningWork> running) {
        for (ListedUpstream entry : upstreams.values()) {
            String upstream = entry.host().name();
            if (entry.slice() == slice) {
                // The age is not tracked per kind; 0 reserves the slots for the full execution bound.
                pool.runningByKind(upstream)
                        .forEach((kind, count) -> running.add(new RunningWork(upstream, kind, count, 0)));
            }
        }
    }

    void submit(CallerRequest request, ReplyHandler replyHandler) {
        String requestId = request.description().requestId();
        pendingRequests.put(requestId, new PendingRequest(request.http(), replyHandler));
        perform(pool.submit(request.description(), clockNs.getAsLong()));
    }

    void cancel(String requestId) {
        perform(pool.cancel(requestId, clockNs.getAsLong()));
    }

    void tick() {
        perform(pool.tick(clockNs.getAsLong()));
    }

    void perform(List<PoolEffect> effects) {
        for (PoolEffect effect : effects) {
            if (effect instanceof PoolEffect.Dispatch dispatch) {
                dispatch(dispatch.attempt(), dispatch.request());
            } else if (effect instanceof PoolEffect.Answer answer) {
                deliverAnswer(answer.attempt());
            } else if (effect instanceof PoolEffect.Refuse refuse) {
                removePending(refuse.request().requestId())
                        .ifPresent(pending -> pending.replyHandler().refused(refuse.refusal()));
            } else if (effect instanceof PoolEffect.CloseConnection close) {
                Optional.ofNullable(exchanges.get(close.attempt())).ifPresent(exchange -> exchange.cancel(false));
            } else if (effect instanceof PoolEffect.Probe probe) {
                probe(probe.upstream());
            }
        }
    }

    boolean hasHalfAllowance() {
        for (SliceGrant entry : grants.values()) {
            if (entry.allowance() == SlotAllowance.HALF) {
                return true;
            }
        }
        return false;
    }

    /** Adds the allowance and host list state of each upstream to a list. */
    void addUpstreams(String service, List<UpstreamStatus> list) {
        upstreams.forEach((upstream, entry) -> list.add(new UpstreamStatus(
                upstream,
                service,
                grants.getOrDefault(upstream, SliceGrant.NONE).allowance(),
                entry.host().state())));
    }

    private Optional<PendingRequest> removePending(String requestId) {
        return Optional.ofNullable(pendingRequests.remove(requestId));
    }

    private void deliverAnswer(Attempt attempt) {
        Answer answer = answers.remove(attempt);
        removePending(attempt.requestId())
                .ifPresent(pending -> pending.replyHandler().answered(answer));
    }

    private void dispatch(Attempt attempt, RequestDescription description) {
        PendingRequest request = pendingRequests.get(attempt.requestId());
        ListedUpstream upstream = upstreams.get(attempt.upstream());
        if (request == null || upstream == null) {
            perform(pool.notWritten(attempt, false, clockNs.getAsLong()));
            return;
        }
        traces.addStep(attempt.requestId(), System.currentTimeMillis(), "dispatched", attempt.upstream());
        long nowNs = clockNs.getAsLong();
        Headers headers = request.http()
                .headers()
                .with(CallerAnswers.REQUEST_ID, attempt.requestId())
                .with("Pollensill-Attempt", String.valueOf(attempt.number()))
                .with(
                        "Pollensill-Deadline-Ms",
                        String.valueOf(description.deadline().remainingMsAfterHop(nowNs, 0)));
        Request outgoing = new Request(
                request.http().method(),
                request.http().uri(),
                headers,
                request.http().body());
        CompletableFuture<Answer> exchange =
                client.send(upstream.address(), outgoing, EXCHANGE_TIMEOUT_MS, () -> isDispatchAllowed(attempt));
        exchanges.put(attempt, exchange);
        exchange.whenComplete((answer, failure) -> exchangeEnded(attempt, answer, failure));
    }

    /** Checks clock and ownership again right before the write, in case the process paused after the decision. */
    private boolean isDispatchAllowed(Attempt attempt) {
        ListedUpstream upstream = upstreams.get(attempt.upstream());
        return upstream != null
                && pool.isDispatchAllowed(
                        attempt,
                        ownership.grant(upstream.slice(), clockNs.getAsLong()).allowance());
    }

    private void exchangeEnded(Attempt attempt, Answer answer, Throwable failure) {
        exchanges.remove(attempt);
        long nowNs = clockNs.getAsLong();
        if (failure != null) {
            perform(exchangeFailed(attempt, Failures.unwrap(failure), nowNs));
            return;
        }
        if (isUpstreamRefusal(answer)) {
            boolean leaving = answer.headers()
                    .get("Upstream-Leaving")
                    .filter("true"::equals)
                    .isPresent();
            AttemptFailure refused = leaving ? AttemptFailure.REFUSED_LEAVING : AttemptFailure.REFUSED;
            perform(pool.failed(attempt, refused, nowNs));
            return;
        }
        Optional<String> answeredId = answer.headers().get(CallerAnswers.REQUEST_ID);
        if (AnswerCheck.checkHead(attempt.requestId(), answeredId) != AnswerCheck.Verdict.WHOLE) {
            LOG.log(EntryEvent.ANSWER_MISMATCHED, "upstream", attempt.upstream(), "request", attempt.requestId());
            perform(pool.failed(attempt, AttemptFailure.MISMATCHED, nowNs));
            return;
        }
        answers.put(attempt, answer);
        perform(pool.answered(attempt, answer.status() >= 500, nowNs));
        answers.remove(attempt);
    }

    private List<PoolEffect> exchangeFailed(Attempt attempt, Throwable cause, long nowNs) {
        if (cause instanceof HttpException http) {
            if (http.reason() == HttpException.Reason.FORBIDDEN_BY_GUARD) {
                // Otherwise the pool would choose the same upstream again until the next ownership check.
                Optional.ofNullable(upstreams.get(attempt.upstream())).ifPresent(this::refreshOwnership);
            }
            if (!http.sent()) {
                boolean upstreamFailed = http.reason() == HttpException.Reason.CONNECTION_REFUSED
                        || http.reason() == HttpException.Reason.CONNECT_FAILED;
                return pool.notWritten(attempt, upstreamFailed, nowNs);
            }
            if (http.reason() == HttpException.Reason.INVALID_ANSWER) {
                return pool.failed(attempt, AttemptFailure.TRUNCATED, nowNs);
            }
        }
        return pool.failed(attempt, AttemptFailure.CONNECTION_LOST, nowNs);
    }

    private static boolean isUpstreamRefusal(Answer answer) {
        return answer.status() == 503
                && answer.headers()
                        .get("Upstream-Refused")
                        .filter("true"::equals)
                        .isPresent();
    }

    private void probe(String upstream) {
        ListedUpstream target = upstreams.get(upstream);
        if (target == null) {
            return;
        }
        probeClient
                .send(target.address(), Request.get(PROBE_PATH), PROBE_TIMEOUT_MS)
                .whenComplete((answer, failure) -> perform(pool.probed(
                        upstream,
                        failure == null && answer.status() / 100 == 2,
                        failure == null
                                && answer.headers()
                                        .get("Upstream-Leaving")
                                        .filter("true"::equals)
                                        .isPresent(),
                        clockNs.getAsLong())));
    }
}
