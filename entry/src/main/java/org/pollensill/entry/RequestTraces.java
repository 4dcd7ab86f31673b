package org.pollensill.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** Traces of the most recent requests, for operators. Bounded; the oldest trace is evicted first. */
final class RequestTraces {

    private static final int MAX_STEPS_PER_REQUEST = 16;

    private final int maxRequests;
    private final Map<String, Trace> traces = new LinkedHashMap<>();

    /**
     * A step in the processing of a request.
     *
     * @param atMs wall-clock time
     * @param step name of the step
     * @param detail the upstream, peer or reason
     */
    record Step(long atMs, String step, String detail) {

        Step {
            Objects.requireNonNull(step, "step is null");
            Objects.requireNonNull(detail, "detail is null");
        }
    }

    /**
     * The trace of a request.
     *
     * @param service the service
     * @param kind the kind of work
     * @param caller the caller
     * @param idempotent whether it may run more than once
     * @param steps the steps in order
     */
    record Trace(String service, String kind, String caller, boolean idempotent, List<Step> steps) {}

    RequestTraces(int maxRequests) {
        this.maxRequests = maxRequests;
    }

    synchronized void start(CallerRequest request, long nowMs, String from) {
        Trace record = new Trace(
                request.service(),
                request.description().kind(),
                request.description().caller(),
                request.description().idempotent(),
                new ArrayList<>(4));
        record.steps().add(new Step(nowMs, "received", from));
        traces.putIfAbsent(request.description().requestId(), record);
        if (traces.size() > maxRequests) {
            traces.remove(traces.keySet().iterator().next());
        }
    }

    synchronized void addStep(String requestId, long nowMs, String step, String detail) {
        Trace record = traces.get(requestId);
        if (record != null && record.steps().size() < MAX_STEPS_PER_REQUEST) {
            record.steps().add(new Step(nowMs, step, detail));
        }
    }

    synchronized Optional<Trace> find(String requestId) {
        Trace record = traces.get(requestId);
        return record == null
                ? Optional.empty()
                : Optional.of(new Trace(
                        record.service(),
                        record.kind(),
                        record.caller(),
                        record.idempotent(),
                        List.copyOf(record.steps())));
    }
}
