package org.pollensill.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.pollensill.contract.Deadline;
import org.pollensill.contract.PoolLoad;
import org.pollensill.contract.Refusal;
import org.pollensill.contract.RequestDescription;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.Forward;
import org.pollensill.runtime.peer.wire.ForwardCancel;
import org.pollensill.runtime.peer.wire.ForwardReply;
import org.pollensill.runtime.peer.wire.Header;
import org.pollensill.runtime.peer.wire.KindLoad;
import org.pollensill.runtime.peer.wire.Load;
import org.pollensill.runtime.peer.wire.LoadReport;

/** Converts between peer messages and domain objects. */
final class PeerMessages {

    private PeerMessages() {}

    static Envelope forward(CallerRequest request, int attempt, long remainingMs) {
        RequestDescription description = request.description();
        return Envelope.newBuilder()
                .setForward(Forward.newBuilder()
                        .setRequestId(description.requestId())
                        .setService(request.service())
                        .setKind(description.kind())
                        .setCaller(description.caller())
                        .setIdempotent(description.idempotent())
                        .setRemainingDeadlineMs(remainingMs)
                        .setAttempt(attempt)
                        .setMethod(request.http().method())
                        .setUri(request.http().uri())
                        .addAllHeaders(headers(request.http().headers()))
                        .setBody(ByteString.copyFrom(request.http().body())))
                .build();
    }

    static CallerRequest request(Forward forward, long nowNs) {
        RequestDescription description = new RequestDescription(
                forward.getRequestId(),
                forward.getKind(),
                forward.getCaller(),
                forward.getIdempotent(),
                Deadline.after(nowNs, forward.getRemainingDeadlineMs()));
        Request http = new Request(
                forward.getMethod(),
                forward.getUri(),
                headers(forward.getHeadersList()),
                forward.getBody().toByteArray());
        return new CallerRequest(forward.getService(), description, Optional.empty(), http);
    }

    static Envelope answered(Forward forward, Answer answer, Optional<PoolLoad> load) {
        ForwardReply.Builder reply = reply(forward, load)
                .setOutcome(CallerAnswers.COMPLETED)
                .setStatus(answer.status())
                .addAllHeaders(headers(answer.headers()))
                .setBody(ByteString.copyFrom(answer.body()));
        return Envelope.newBuilder().setForwardReply(reply).build();
    }

    static Envelope refused(Forward forward, Refusal refusal, Optional<PoolLoad> load) {
        ForwardReply.Builder reply = reply(forward, load)
                .setOutcome(refusal.reason().notRun() ? CallerAnswers.NOT_RUN : CallerAnswers.UNKNOWN)
                .setReason(refusal.reason().name())
                .setRetryAfterMs((int) Math.min(Integer.MAX_VALUE, refusal.retryAfterMs()));
        return Envelope.newBuilder().setForwardReply(reply).build();
    }

    private static ForwardReply.Builder reply(Forward forward, Optional<PoolLoad> load) {
        ForwardReply.Builder reply =
                ForwardReply.newBuilder().setRequestId(forward.getRequestId()).setAttempt(forward.getAttempt());
        load.ifPresent(present -> reply.setLoad(load(present)));
        return reply;
    }

    static Answer answer(ForwardReply reply) {
        return new Answer(
                reply.getStatus(),
                headers(reply.getHeadersList()),
                reply.getBody().toByteArray());
    }

    /** Reads a refusal. An unknown reason, sent by another version, must not be read as "not run". */
    static Refusal refusal(ForwardReply reply) {
        for (Refusal.Reason reason : Refusal.Reason.values()) {
            if (reason.name().equals(reply.getReason().toUpperCase(Locale.ROOT))) {
                return new Refusal(reason, reply.getRetryAfterMs());
            }
        }
        return new Refusal(Refusal.Reason.ANSWER_LOST, 0);
    }

    static Envelope cancel(String service, String requestId, int attempt) {
        return Envelope.newBuilder()
                .setForwardCancel(ForwardCancel.newBuilder()
                        .setService(service)
                        .setRequestId(requestId)
                        .setAttempt(attempt))
                .build();
    }

    static Envelope report(List<PoolLoad> loads) {
        LoadReport.Builder report = LoadReport.newBuilder();
        loads.forEach(load -> report.addLoads(load(load)));
        return Envelope.newBuilder().setLoadReport(report).build();
    }

    static PoolLoad load(Load load) {
        List<PoolLoad.KindLoad> kinds = new ArrayList<>(load.getKindsCount());
        for (KindLoad kind : load.getKindsList()) {
            kinds.add(new PoolLoad.KindLoad(
                    kind.getKind(), kind.getQueued(), kind.getRunning(), kind.getFreeSlots(), kind.getQueueWaitMs()));
        }
        return new PoolLoad(load.getService(), load.getTotalSlots(), load.getFreeSlots(), kinds);
    }

    private static Load load(PoolLoad load) {
        Load.Builder builder = Load.newBuilder()
                .setService(load.service())
                .setTotalSlots(load.totalSlots())
                .setFreeSlots(load.freeSlots());
        for (PoolLoad.KindLoad kind : load.kinds()) {
            builder.addKinds(KindLoad.newBuilder()
                    .setKind(kind.kind())
                    .setQueued(kind.queued())
                    .setRunning(kind.running())
                    .setFreeSlots(Math.max(0, kind.freeSlots()))
                    .setQueueWaitMs((int) Math.min(Integer.MAX_VALUE, kind.queueWaitMs())));
        }
        return builder.build();
    }

    private static List<Header> headers(Headers headers) {
        List<Header> list = new ArrayList<>(headers.entries().size());
        for (Headers.Entry entry : headers.entries()) {
            list.add(Header.newBuilder()
                    .setName(entry.name())
                    .setValue(entry.value())
                    .build());
        }
        return list;
    }

    private static Headers headers(List<Header> list) {
        List<Headers.Entry> entries = new ArrayList<>(list.size());
        for (Header header : list) {
            entries.add(new Headers.Entry(header.getName(), header.getValue()));
        }
        return new Headers(entries);
    }
}
