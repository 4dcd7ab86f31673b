package org.pollensill.runtime.http;

import java.util.Objects;

import org.pollensill.error.PollensillException;

/** A failed exchange of an HTTP client. */
public final class HttpException extends PollensillException {

    private static final long serialVersionUID = 1L;

    /** Cause of a failed exchange. */
    public enum Reason {
        /** The host refused the connection: no process listens at the address. */
        CONNECTION_REFUSED,
        /** The connection could not be established for another reason than a refusal. */
        CONNECT_FAILED,
        /** The limit of connections and queued requests is reached, or the client is closed. */
        LIMIT_REACHED,
        /** The send guard did not allow the request to be written. */
        FORBIDDEN_BY_GUARD,
        /** No complete response arrived within the timeout. */
        TIMED_OUT,
        /** The connection closed before the response was complete. */
        CLOSED,
        /** The response is malformed, too large, or not delimited by a length or chunked encoding. */
        INVALID_ANSWER
    }

    private final Reason reason;
    private final boolean sent;

    /**
     * Creates a failure.
     *
     * @param reason the cause
     * @param sent whether a byte of the request may have left this process
     * @param message the failure with the address, and with the method once that is known
     */
    public HttpException(Reason reason, boolean sent, String message) {
        super(message);
        this.reason = Objects.requireNonNull(reason, "reason is null");
        this.sent = sent;
    }

    /**
     * Returns the cause of the failure.
     *
     * @return the reason
     */
    public Reason reason() {
        return reason;
    }

    /**
     * Returns whether a byte of the request may have left this process.
     *
     * @return false only if the request was certainly not sent
     */
    public boolean sent() {
        return sent;
    }
}
