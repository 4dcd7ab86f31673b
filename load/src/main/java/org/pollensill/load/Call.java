package org.pollensill.load;

import java.util.Objects;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;

/** One request from its intended start to its outcome. Confined to the event loop of its lane. */
final class Call {

    private final LoadConfig.Kind kind;
    private final int phase;
    private final String workId;
    private final String caller;
    private final long intendedNs;
    private int attempts;
    private long attemptStartNs;
    private int reroutes;
    private boolean mayHaveRun;
    private boolean open = true;
    private Channel channel;
    private ScheduledFuture<?> timeout;

    Call(LoadConfig.Kind kind, int phase, String workId, String caller, long intendedNs) {
        this.kind = Objects.requireNonNull(kind, "kind is null");
        this.phase = phase;
        this.workId = Objects.requireNonNull(workId, "workId is null");
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.intendedNs = intendedNs;
    }

    LoadConfig.Kind kind() {
        return kind;
    }

    int phase() {
        return phase;
    }

    String workId() {
        return workId;
    }

    String caller() {
        return caller;
    }

    long intendedNs() {
        return intendedNs;
    }

    boolean isOpen() {
        return open;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    int countReroute() {
        return ++reroutes;
    }

    boolean mayRetry(Outcome outcome) {
        return kind.keyed()
                && attempts <= kind.repeats()
                && (outcome == Outcome.UNKNOWN || outcome == Outcome.NO_ANSWER);
    }

    int attempts() {
        return attempts;
    }

    /** Records the connection to which the attempt is written, and returns the attempt number. */
    int markSent(Channel connection) {
        channel = connection;
        return attempts;
    }

    boolean isSent() {
        return channel != null;
    }

    /** Returns the start of the current attempt, from which its deadline is measured. */
    long attemptStartNs() {
        return attemptStartNs;
    }

    void beginAttempt(long startNs, ScheduledFuture<?> attemptTimeout) {
        attempts++;
        attemptStartNs = startNs;
        reroutes = 0;
        channel = null;
        open = true;
        timeout = attemptTimeout;
    }

    void endAttempt(Outcome outcome) {
        open = false;
        mayHaveRun |= outcome != Outcome.NOT_RUN && outcome != Outcome.NOT_SENT;
        timeout.cancel(false);
    }

    /** Closes the connection of a timed-out attempt, so that a late answer is not matched to another call. */
    void closeConnection() {
        if (channel != null) {
            channel.close();
        }
    }
}
