package org.pollensill.link;

/**
 * Exponentially weighted moving average of the answer size of one kind. Before a request is sent to another region, it
 * serves as the estimate of the bytes that the answer takes on the link.
 */
public final class AnswerSize {

    private static final double SMOOTHING_FACTOR = 1.0 / 32;

    private double meanBytes;
    private boolean hasSample;

    /**
     * Adds an answer to the average.
     *
     * @param bytes size of the answer
     */
    public void add(long bytes) {
        meanBytes = hasSample ? meanBytes + SMOOTHING_FACTOR * (bytes - meanBytes) : bytes;
        hasSample = true;
    }

    /**
     * Returns the average size.
     *
     * @return the average size, 0 before the first answer
     */
    public long meanBytes() {
        return (long) meanBytes;
    }
}
