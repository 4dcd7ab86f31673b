package org.pollensill.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;

/**
 * Simulated upstream that runs up to 8 requests concurrently. Further requests are queued and counted as slot
 * overruns. A running request continues to its end even if its connection closes.
 */
final class Upstream implements HttpListener.Handler {

    static final int SLOTS = 8;
    static final int CONNECTIONS = 64;
    // Requests are allowed for this long after an upstream starts to leave.
    private static final long LEAVING_GRACE_MS = 3000;

    private record UpstreamRequest(Exchange exchange, String kind, String requestId, String workId, long arrivedMs) {}

    private final String name;
    private final StandinConfig config;
    private final RequestLedger ledger;
    private final Clock clock;
    private final UpstreamFaults faults;
    private final long seed;
    private final Map<String, ServiceTime> serviceTimes = new HashMap<>();
    private final Queue<UpstreamRequest> waiting = new ArrayDeque<>();
    private int accepted;
    private int running;
    private int connections;
    private String previousRequestId = "unknown-request";

    Upstream(String name, StandinConfig config, RequestLedger ledger, Clock clock) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.config = Objects.requireNonNull(config, "config is null");
        this.ledger = Objects.requireNonNull(ledger, "ledger is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.faults = new UpstreamFaults();
        this.seed = config.seed() * 31 + name.hashCode();
    }

    UpstreamFaults faults() {
        return faults;
    }

    @Override
    public void connectionCountChanged(int delta) {
        synchronized (this) {
            connections += delta;
            if (delta < 0 || connections <= CONNECTIONS) {
                return;
            }
        }
        ledger.count("connectionOverruns");
    }

    @Override
    public void handle(Exchange exchange) {
        long nowMs = clock.nowMs();
        List<String> path = Arrays.stream(exchange.path().split("/"))
                .filter(part -> !part.isEmpty())
                .toList();
        if (path.size() < 2) {
            probe(exchange, nowMs);
            return;
        }
        String kindHeader = exchange.header("pollensill-kind");
        String kind = kindHeader.isEmpty() ? path.get(1) : kindHeader;
        String requestId = exchange.header("pollensill-request-id");
        if (faults.isLeaving()) {
            if (nowMs - faults.leavingSinceMs() > LEAVING_GRACE_MS) {
                ledger.count("workAfterLeaving");
            }
            if (faults.refusesWhenLeaving()) {
                refuse(exchange, requestId);
                return;
            }
        }
        begin(new UpstreamRequest(exchange, kind, requestId, exchange.parameter("work"), nowMs), path.get(0));
    }

    private void probe(Exchange exchange, long nowMs) {
        if (faults.isHanging(nowMs)) {
            return;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        if (faults.isLeaving()) {
            headers.put("Connection", "close");
            headers.put("Upstream-Leaving", "true");
        }
        exchange.answer(200, headers, new byte[0]);
    }

    private void refuse(Exchange exchange, String requestId) {
        exchange.answer(
                503,
                Map.of(
                        "Upstream-Leaving", "true",
                        "Upstream-Refused", "true",
                        "Pollensill-Request-Id", requestId),
                new byte[0]);
    }

    private void begin(UpstreamRequest request, String service) {
        List<String> identities = new ArrayList<>(2);
        if (!request.requestId().isEmpty()) {
            identities.add(request.requestId());
        }
        if (!request.workId().isEmpty()) {
            identities.add(request.workId());
        }
        ledger.begin(name, request.kind(), identities, deduplicationKey(request, service));
        synchronized (this) {
            accepted++;
            if (accepted <= SLOTS) {
                run(request);
                return;
            }
            waiting.add(request);
        }
        ledger.count("slotOverruns");
    }

    /** Returns the key of a request that must not run twice, or the empty string if the request is idempotent. */
    private String deduplicationKey(UpstreamRequest request, String service) {
        Exchange exchange = request.exchange();
        String key = exchange.header("idempotency-key");
        if (!key.isEmpty()) {
            return service + "/" + exchange.header("pollensill-caller") + "/" + key;
        }
        String header = exchange.header("pollensill-idempotent");
        boolean idempotent = header.isEmpty()
                ? config.kind(request.kind()).idempotent() || !exchange.method().equals("POST")
                : header.equals("true");
        if (idempotent) {
            return "";
        }
        return request.workId().isEmpty() ? request.requestId() : request.workId();
    }

    private synchronized void run(UpstreamRequest request) {
        running++;
        ServiceTime time = serviceTimes.computeIfAbsent(
                request.kind(), kind -> ServiceTime.of(config.kind(kind), seed * 31 + kind.hashCode()));
        long nowMs = clock.nowMs();
        double serviceMs = Math.min(time.sampleMs() * faults.slowFactor(nowMs), time.boundMs());
        if (faults.isHanging(nowMs)) {
            request.exchange().schedule(time.boundMs(), () -> end(request, time.boundMs(), false));
            return;
        }
        double answerDelayMs = faults.takeAnswerDelayMs(nowMs);
        request.exchange().schedule(serviceMs, () -> {
            if (answerDelayMs > 0) {
                request.exchange().schedule(answerDelayMs, () -> end(request, serviceMs, true));
                return;
            }
            end(request, serviceMs, true);
        });
    }

    private void end(UpstreamRequest request, double serviceMs, boolean answers) {
        ledger.end(request.kind(), serviceMs, answers && request.exchange().isConnected());
        String previous;
        synchronized (this) {
            accepted--;
            running--;
            previous = previousRequestId;
            previousRequestId = request.requestId();
            runWaiting();
        }
        if (answers) {
            answer(request, previous);
        }
    }

    /** Runs queued requests while slots are free; drops those whose connection has closed. */
    private void runWaiting() {
        while (running < SLOTS && !waiting.isEmpty()) {
            UpstreamRequest next = waiting.remove();
            if (next.exchange().isConnected()) {
                run(next);
            } else {
                accepted--;
            }
        }
    }

    private void answer(UpstreamRequest request, String previousId) {
        boolean mismatched = faults.takeMismatch();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put("Pollensill-Request-Id", mismatched ? previousId : request.requestId());
        headers.put("Standin-Upstream", name);
        if (faults.isLeaving()) {
            headers.put("Upstream-Leaving", "true");
            headers.put("Connection", "close");
        }
        String padding = "x".repeat(config.kind(request.kind()).answerBytes());
        byte[] content = ("{\"work\":\"" + (mismatched ? "other" : request.workId()) + "\",\"upstream\":\"" + name
                        + "\",\"filling\":\"" + padding + "\"}")
                .getBytes(StandardCharsets.UTF_8);
        if (faults.takeTruncation()) {
            request.exchange().answerTruncated(200, headers, content);
            return;
        }
        request.exchange().answer(200, headers, content);
    }

    /** Returns the current state of the upstream. */
    synchronized Map<String, Object> status() {
        return Map.of("accepted", accepted, "connections", connections, "leaving", faults.isLeaving());
    }
}
