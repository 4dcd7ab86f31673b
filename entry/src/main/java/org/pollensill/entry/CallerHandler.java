package org.pollensill.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.pollensill.contract.Refusal;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.HttpHandler;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;
import org.pollensill.settings.Effective;

/** Handles callers' requests and answers them with the outcome. */
final class CallerHandler implements HttpHandler {

    private final CallerRequestReader reader;
    private final Supplier<Optional<Effective>> settings;
    private final RequestRouter requestRouter;
    private final RequestMetrics metrics;
    private final ServiceLevelRecorder levelRecorder;
    private final LongSupplier clockNs;
    private final RequestTraces traces;

    CallerHandler(
            CallerRequestReader reader,
            Supplier<Optional<Effective>> settings,
            RequestRouter requestRouter,
            RequestMetrics metrics,
            ServiceLevelRecorder levelRecorder,
            LongSupplier clockNs,
            RequestTraces traces) {
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.requestRouter = Objects.requireNonNull(requestRouter, "requestRouter is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.levelRecorder = Objects.requireNonNull(levelRecorder, "levelRecorder is null");
        this.clockNs = Objects.requireNonNull(clockNs, "clockNs is null");
        this.traces = Objects.requireNonNull(traces, "traces is null");
    }

    @Override
    public void handle(Request http, Responder responder) {
        long startNs = clockNs.getAsLong();
        Optional<Effective> values = settings.get();
        if (values.isEmpty()) {
            responder.answer(CallerAnswers.invalid(503, "no-settings", "this process has no settings yet")
                    .withHeader("Retry-After", "1"));
            return;
        }
        CallerRequest request;
        try {
            request = reader.read(http, values.get(), startNs);
        } catch (BadRequestException e) {
            responder.answer(CallerAnswers.invalid(e.status(), e.type(), e.getMessage()));
            return;
        }
        traces.start(request, System.currentTimeMillis(), "caller");
        CallerReplyHandler replyHandler = new CallerReplyHandler(request, responder, startNs);
        responder.onClose(() -> requestRouter.cancel(request));
        requestRouter.route(request, replyHandler);
    }

    private final class CallerReplyHandler implements ReplyHandler {

        private final CallerRequest request;
        private final Responder responder;
        private final long startNs;
        private final AtomicBoolean finished = new AtomicBoolean();

        CallerReplyHandler(CallerRequest request, Responder responder, long startNs) {
            this.request = request;
            this.responder = responder;
            this.startNs = startNs;
        }

        @Override
        public void answered(Answer answer) {
            if (finished.compareAndSet(false, true)) {
                addStep("answered", String.valueOf(answer.status()));
                long elapsedNs = clockNs.getAsLong() - startNs;
                metrics.answered(request, answer.status(), elapsedNs);
                levelRecorder.answered(request, answer.status(), elapsedNs, System.currentTimeMillis());
                responder.answer(CallerAnswers.completed(request.description().requestId(), answer));
            }
        }

        @Override
        public void refused(Refusal refusal) {
            if (finished.compareAndSet(false, true)) {
                addStep("refused", refusal.reason().name());
                metrics.refused(request, refusal);
                levelRecorder.refused(request, refusal, System.currentTimeMillis());
                responder.answer(CallerAnswers.refused(request.description().requestId(), refusal));
            }
        }

        private void addStep(String step, String detail) {
            traces.addStep(request.description().requestId(), System.currentTimeMillis(), step, detail);
        }
    }
}
