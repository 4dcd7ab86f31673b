package org.pollensill.retry;

import java.util.Objects;

/** Mean of the round trip plus four mean deviations, as the retransmission timer of TCP computes it (RFC 6298). */
final class RoundTripTimeout implements TimeoutEstimate {

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final int DEVIATIONS = 4;

    private final TimeoutBounds bounds;
    private double meanMs;
    private double deviationMs;
    private boolean measured;

    RoundTripTimeout(TimeoutBounds bounds) {
        this.bounds = Objects.requireNonNull(bounds, "bounds is null");
    }

    @Override
    public long timeoutMs() {
        return measured ? bounds.clamp(meanMs + DEVIATIONS * deviationMs) : bounds.initialMs();
    }

    @Override
    public void answered(long elapsedMs) {
        if (elapsedMs < 0) {
            throw new IllegalArgumentException("negative time to an answer: " + elapsedMs);
        }
        if (!measured) {
            measured = true;
            meanMs = elapsedMs;
            deviationMs = elapsedMs / 2.0;
            return;
        }
        deviationMs += DEVIATION_GAIN * (Math.abs(elapsedMs - meanMs) - deviationMs);
        meanMs += MEAN_GAIN * (elapsedMs - meanMs);
    }
}
