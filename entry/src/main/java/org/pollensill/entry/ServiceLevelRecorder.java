package org.pollensill.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.pollensill.burn.BurnCounters;
import org.pollensill.burn.BurnKey;
import org.pollensill.burn.Cause;
import org.pollensill.burn.Verdict;
import org.pollensill.contract.KindContract;
import org.pollensill.contract.Refusal;
import org.pollensill.settings.Effective;

/** Counts callers' requests against their objectives, with the likely cause of error-budget burn. */
final class ServiceLevelRecorder {

    private static final long NS_PER_MS = 1_000_000;

    private final BurnCounters counters;
    private final Supplier<Optional<Effective>> settings;
    private final Supplier<Cause> backgroundCause;

    /**
     * Creates a recorder.
     *
     * @param counters the process's counters
     * @param settings the settings in force
     * @param backgroundCause the current cause of slow requests whose outcome does not identify one
     */
    ServiceLevelRecorder(
            BurnCounters counters, Supplier<Optional<Effective>> settings, Supplier<Cause> backgroundCause) {
        this.counters = Objects.requireNonNull(counters, "counters is null");
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.backgroundCause = Objects.requireNonNull(backgroundCause, "backgroundCause is null");
    }

    void answered(CallerRequest request, int status, long elapsedNs, long nowMs) {
        if (status >= 500) {
            counters.record(key(request), Verdict.FAILED, Cause.UPSTREAM, nowMs);
            return;
        }
        Verdict verdict = Verdict.answered(elapsedNs / NS_PER_MS, latencyBoundMs(request));
        Cause cause = verdict.isBad() ? backgroundCause.get() : Cause.OTHER;
        counters.record(key(request), verdict, cause, nowMs);
    }

    void refused(CallerRequest request, Refusal refusal, long nowMs) {
        Verdict verdict = refusal.reason().notRun() ? Verdict.REFUSED : Verdict.FAILED;
        counters.record(key(request), verdict, cause(refusal.reason()), nowMs);
    }

    private Cause cause(Refusal.Reason reason) {
        return switch (reason) {
            case QUEUE_FULL, DEADLINE_TOO_SHORT, DEADLINE_PASSED -> {
                Cause background = backgroundCause.get();
                yield background == Cause.OTHER ? Cause.FLOOD : background;
            }
            case NO_UPSTREAM, DRAINING -> Cause.TAKEOVER;
            case UPSTREAM_REFUSED, NOT_CONNECTED, ANSWER_LATE, ANSWER_LOST -> Cause.UPSTREAM;
            case LINK_FULL -> Cause.LINK;
            case STORE_DOWN -> Cause.STORE;
            case DUPLICATE, CANCELLED, KEY_REUSED, EARLIER_UNKNOWN -> Cause.CALLER;
        };
    }

    private long latencyBoundMs(CallerRequest request) {
        return settings.get()
                .flatMap(values -> values.service(request.service()))
                .flatMap(service -> service.kind(request.description().kind()))
                .map(KindContract::latencyBoundMs)
                .orElse(Long.MAX_VALUE);
    }

    private static BurnKey key(CallerRequest request) {
        return new BurnKey(request.service(), request.description().kind());
    }
}
