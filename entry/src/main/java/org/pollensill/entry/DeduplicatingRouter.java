package org.pollensill.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoopGroup;
import org.pollensill.claim.ClaimEffect;
import org.pollensill.claim.ClaimKey;
import org.pollensill.claim.ClaimTable;
import org.pollensill.claim.StoredAnswer;
import org.pollensill.contract.Refusal;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.TableService;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.Request;

/** Routes requests with an idempotency key: claims the key first, and stores the outcome for repeated requests. */
final class DeduplicatingRouter implements RequestRouter {

    private static final byte[] SEPARATOR = {0};

    private final ClaimTable claims;
    private final TableService tables;
    private final RequestRouter next;
    private final ClaimQueries claimQueries;
    private final EventLoopGroup loops;
    private final LongSupplier clockNs;
    private final RequestTraces traces;
    private final Map<String, PendingRequest> pendingRequests = new ConcurrentHashMap<>();
    private volatile int answerStoreBytes;

    private record PendingRequest(CallerRequest request, ReplyHandler replyHandler) {}

    DeduplicatingRouter(
            ClaimTable claims,
            TableService tables,
            RequestRouter next,
            ClaimQueries claimQueries,
            EventLoopGroup loops,
            LongSupplier clockNs,
            RequestTraces traces) {
        this.claims = Objects.requireNonNull(claims, "claims is null");
        this.tables = Objects.requireNonNull(tables, "tables is null");
        this.next = Objects.requireNonNull(next, "next is null");
        this.claimQueries = Objects.requireNonNull(claimQueries, "claimQueries is null");
        this.loops = Objects.requireNonNull(loops, "loops is null");
        this.clockNs = Objects.requireNonNull(clockNs, "clockNs is null");
        this.traces = Objects.requireNonNull(traces, "traces is null");
        claimQueries.start(
                (queryId, rowKey) -> perform(claims.queryReceived(queryId, rowKey, clockNs.getAsLong())),
                (rowKey, answer) -> perform(claims.holderAnswered(rowKey, answer, clockNs.getAsLong())));
    }

    void setAnswerStoreBytes(int bytes) {
        answerStoreBytes = bytes;
    }

    @Override
    public void route(CallerRequest request, ReplyHandler replyHandler) {
        if (request.idempotencyKey().isEmpty()) {
            next.route(request, replyHandler);
            return;
        }
        String requestId = request.description().requestId();
        long nowNs = clockNs.getAsLong();
        pendingRequests.put(requestId, new PendingRequest(request, replyHandler));
        loops.next()
                .schedule(
                        () -> deadlinePassed(requestId),
                        request.description().deadline().remainingNs(nowNs),
                        TimeUnit.NANOSECONDS);
        ClaimKey key = new ClaimKey(
                request.service(),
                request.description().caller(),
                request.idempotencyKey().get());
        perform(claims.claim(requestId, key, payloadHash(request.http()), nowNs, System.currentTimeMillis()));
    }

    @Override
    public void cancel(CallerRequest request) {
        if (request.idempotencyKey().isEmpty()) {
            next.cancel(request);
            return;
        }
        // A granted request continues, because a repeat may need its answer; only a claim still waiting is withdrawn.
        deadlinePassed(request.description().requestId());
    }

    void tick() {
        perform(claims.tick(clockNs.getAsLong()));
    }

    private void deadlinePassed(String requestId) {
        if (pendingRequests.containsKey(requestId)) {
            perform(claims.expired(requestId, clockNs.getAsLong()));
        }
    }

    private void perform(List<ClaimEffect> effects) {
        for (ClaimEffect effect : effects) {
            if (effect instanceof ClaimEffect.Write write) {
                write(write);
            } else if (effect instanceof ClaimEffect.Read read) {
                read(read);
            } else if (effect instanceof ClaimEffect.Granted granted) {
                runGranted(granted.requestId());
            } else if (effect instanceof ClaimEffect.Replay replay) {
                replay(replay);
            } else if (effect instanceof ClaimEffect.Refused refused) {
                refuse(refused);
            } else if (effect instanceof ClaimEffect.QueryHolder query) {
                claimQueries.queryHolder(query.rowKey(), query.host(), query.incarnation());
            }
        }
    }

    private void write(ClaimEffect.Write write) {
        String commitId = write.commit().commitId();
        tables.commit(write.commit()).whenComplete((outcome, failure) -> {
            long nowNs = clockNs.getAsLong();
            perform(
                    failure == null
                            ? claims.committed(commitId, outcome, nowNs)
                            : claims.commitFailed(commitId, PlatformException.effectOf(failure), nowNs));
        });
    }

    private void read(ClaimEffect.Read read) {
        tables.read(read.keys(), List.of()).whenComplete((rows, failure) -> {
            long nowNs = clockNs.getAsLong();
            perform(
                    failure == null
                            ? claims.rowsRead(read.readId(), rows, nowNs)
                            : claims.readFailed(read.readId(), nowNs));
        });
    }

    private void runGranted(String requestId) {
        PendingRequest granted = pendingRequests.remove(requestId);
        if (granted == null) {
            perform(claims.notRun(requestId, clockNs.getAsLong()));
            return;
        }
        traces.addStep(requestId, System.currentTimeMillis(), "claimed", "");
        next.route(granted.request(), new RecordingReplyHandler(requestId, granted.replyHandler()));
    }

    private void replay(ClaimEffect.Replay replay) {
        if (claimQueries.sendAnswer(replay.requestId(), replay.answer())) {
            return;
        }
        PendingRequest repeat = pendingRequests.remove(replay.requestId());
        if (repeat != null) {
            traces.addStep(replay.requestId(), System.currentTimeMillis(), "replayed", "stored answer");
            repeat.replyHandler().answered(answer(replay.answer()));
        }
    }

    private void refuse(ClaimEffect.Refused refused) {
        if (claimQueries.sendNoAnswer(refused.requestId())) {
            return;
        }
        PendingRequest refusedRequest = pendingRequests.remove(refused.requestId());
        if (refusedRequest != null) {
            refusedRequest.replyHandler().refused(refused.refusal());
        }
    }

    private static Answer answer(StoredAnswer stored) {
        List<Headers.Entry> headers = new ArrayList<>();
        stored.headers().forEach((name, value) -> headers.add(new Headers.Entry(name, value)));
        return new Answer(stored.status(), new Headers(headers), stored.body())
                .withHeader("Pollensill-Replayed", stored.bodyStored() ? "whole" : "without-body");
    }

    private StoredAnswer stored(Answer answer) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (Headers.Entry entry : answer.headers().entries()) {
            if (!entry.name().equalsIgnoreCase(CallerAnswers.REQUEST_ID)) {
                headers.putIfAbsent(entry.name(), entry.value());
            }
        }
        return StoredAnswer.of(answer.status(), headers, answer.body(), answerStoreBytes);
    }

    private static String payloadHash(Request request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(request.method().getBytes(StandardCharsets.UTF_8));
            digest.update(SEPARATOR);
            digest.update(request.uri().getBytes(StandardCharsets.UTF_8));
            digest.update(SEPARATOR);
            digest.update(request.body());
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Records the outcome of a claimed request before passing it on. */
    private final class RecordingReplyHandler implements ReplyHandler {

        private final String requestId;
        private final ReplyHandler replyHandler;

        RecordingReplyHandler(String requestId, ReplyHandler replyHandler) {
            this.requestId = requestId;
            this.replyHandler = replyHandler;
        }

        @Override
        public void answered(Answer answer) {
            perform(claims.completed(requestId, stored(answer), clockNs.getAsLong()));
            replyHandler.answered(answer);
        }

        @Override
        public void refused(Refusal refusal) {
            long nowNs = clockNs.getAsLong();
            perform(
                    refusal.reason().notRun()
                            ? claims.notRun(requestId, nowNs)
                            : claims.outcomeUnknown(requestId, nowNs));
            replyHandler.refused(refusal);
        }
    }
}
