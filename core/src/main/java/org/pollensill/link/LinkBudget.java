package org.pollensill.link;

/**
 * Rate limit for this process's share of one direction of a link between regions: a token bucket with strict
 * priorities. Control traffic is never delayed: it has a reserved part of the rate, and bytes beyond that part are
 * taken from the tokens of the other classes.
 *
 * <p>Not thread-safe; guarded by the {@code link} lock.
 */
public final class LinkBudget {

    private static final double NS_PER_S = 1e9;

    /** Bucket size as a time at full rate. A burst delays a control message by at most this time. */
    private static final double BURST_S = 0.1;

    /** Share of the bucket that each class reserves for the next higher class, so that urgent traffic is not blocked. */
    private static final double RESERVED_SHARE_PER_CLASS = 0.15;

    private final long[] sentBytes = new long[LinkClass.values().length];
    private double bytesPerSecond;
    private double controlShare;
    private double controlTokens;
    private double tokens;
    private long lastRefillNs;

    private LinkBudget(long nowNs) {
        lastRefillNs = nowNs;
    }

    /**
     * Creates a budget whose bucket is full.
     *
     * @param linkBytesPerSecond rate of the link in this direction
     * @param controlPercent percentage of the rate reserved for control traffic
     * @param members number of entry hosts of the region that share the link
     * @param nowNs monotonic time
     * @return the new budget
     */
    public static LinkBudget of(long linkBytesPerSecond, int controlPercent, int members, long nowNs) {
        LinkBudget budget = new LinkBudget(nowNs);
        budget.update(linkBytesPerSecond, controlPercent, members, nowNs);
        budget.tokens = budget.capacity();
        budget.controlTokens = budget.controlCapacity();
        return budget;
    }

    /**
     * Changes the rate, for example when the number of members in a view changes.
     *
     * @param linkBytesPerSecond rate of the link in this direction
     * @param controlPercent percentage of the rate reserved for control traffic
     * @param members number of entry hosts of the region that share the link
     * @param nowNs monotonic time
     * @throws IllegalArgumentException if a value is out of range
     */
    public void update(long linkBytesPerSecond, int controlPercent, int members, long nowNs) {
        if (linkBytesPerSecond < 0 || controlPercent < 0 || controlPercent > 100 || members < 1) {
            throw new IllegalArgumentException("linkBytesPerSecond, controlPercent or members is out of range: "
                    + linkBytesPerSecond + ", " + controlPercent + ", " + members);
        }
        refill(nowNs);
        bytesPerSecond = (double) linkBytesPerSecond / members;
        controlShare = controlPercent / 100.0;
        tokens = Math.min(tokens, capacity());
        controlTokens = Math.min(controlTokens, controlCapacity());
    }

    /**
     * Records control traffic, which is sent whether or not tokens are available.
     *
     * @param bytes size of the message
     * @param nowNs monotonic time
     */
    public void recordControl(long bytes, long nowNs) {
        refill(nowNs);
        double fromControl = Math.min(controlTokens, bytes);
        controlTokens -= fromControl;
        // The debt is bounded, so that a burst of control traffic does not block the other classes for long.
        tokens = Math.max(tokens - (bytes - fromControl), -capacity());
        sentBytes[LinkClass.CONTROL.ordinal()] += bytes;
    }

    /**
     * Takes the tokens for a request or an answer if enough are available.
     *
     * @param traffic class of the message
     * @param bytes size on this direction of the link
     * @param nowNs monotonic time
     * @return whether it may be sent now
     */
    public boolean tryAcquire(LinkClass traffic, long bytes, long nowNs) {
        if (traffic == LinkClass.CONTROL) {
            recordControl(bytes, nowNs);
            return true;
        }
        if (!canAcquire(traffic, bytes, nowNs)) {
            return false;
        }
        tokens -= bytes;
        sentBytes[traffic.ordinal()] += bytes;
        return true;
    }

    /**
     * Returns whether enough tokens are available for a request or an answer, without taking them.
     *
     * @param traffic class of the message
     * @param bytes size on this direction of the link
     * @param nowNs monotonic time
     * @return whether it may be sent now
     */
    public boolean canAcquire(LinkClass traffic, long bytes, long nowNs) {
        refill(nowNs);
        double available = tokens - reservedForHigherClasses(traffic);
        // A message larger than the bucket is sent when the bucket is full, and leaves a debt.
        double maxAvailable = capacity() - reservedForHigherClasses(traffic);
        return bytesPerSecond > 0
                && available > 0
                && (bytes <= available || bytes > maxAvailable && available >= maxAvailable);
    }

    /**
     * Records an answer that can no longer be refused, because its request has already run.
     *
     * @param traffic class of the message
     * @param bytes size on this direction of the link
     * @param nowNs monotonic time
     */
    public void recordAnswer(LinkClass traffic, long bytes, long nowNs) {
        refill(nowNs);
        tokens = Math.max(tokens - bytes, -capacity());
        sentBytes[traffic.ordinal()] += bytes;
    }

    /**
     * Returns the bytes sent so far.
     *
     * @param traffic class of the message
     * @return the number of bytes
     */
    public long sentBytes(LinkClass traffic) {
        return sentBytes[traffic.ordinal()];
    }

    /** Returns the tokens that a class must leave for the classes with a higher priority. */
    private double reservedForHigherClasses(LinkClass traffic) {
        return capacity() * (traffic.ordinal() - 1) * RESERVED_SHARE_PER_CLASS;
    }

    private double capacity() {
        return bytesPerSecond * (1 - controlShare) * BURST_S;
    }

    private double controlCapacity() {
        return bytesPerSecond * controlShare * BURST_S;
    }

    private void refill(long nowNs) {
        double bytes = Math.max(0, nowNs - lastRefillNs) / NS_PER_S * bytesPerSecond;
        tokens = Math.min(capacity(), tokens + bytes * (1 - controlShare));
        controlTokens = Math.min(controlCapacity(), controlTokens + bytes * controlShare);
        lastRefillNs = nowNs;
    }
}
