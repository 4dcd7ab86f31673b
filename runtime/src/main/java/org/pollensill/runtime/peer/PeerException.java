package org.pollensill.runtime.peer;

import java.util.Objects;

import org.pollensill.error.PollensillException;

/** Thrown when a connection to a peer could not be established. */
public final class PeerException extends PollensillException {

    private static final long serialVersionUID = 1L;

    /** Cause of the failure. */
    public enum Reason {
        /** The host refused the connection: no process listens at the address. */
        REFUSED,
        /** The connection failed for another reason than a refusal, for example a time-out. */
        UNREACHABLE,
        /** The connection closed before the handshake was complete, usually because the peer rejected the proof. */
        REJECTED
    }

    private final Reason reason;

    /**
     * Creates an exception.
     *
     * @param reason the cause
     * @param address the peer's address
     */
    public PeerException(Reason reason, String address) {
        super("no connection to peer " + address + ": " + reason);
        this.reason = Objects.requireNonNull(reason, "reason is null");
    }

    /**
     * Returns the cause of the failure.
     *
     * @return the reason
     */
    public Reason reason() {
        return reason;
    }
}
