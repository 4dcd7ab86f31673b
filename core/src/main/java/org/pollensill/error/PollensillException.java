package org.pollensill.error;

import java.util.Objects;

/**
 * Base class of all checked exceptions. Each kind of failure is a subclass with its own fields, never a bare message.
 */
public abstract class PollensillException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message description of the failure, with the value and its origin
     * @throws NullPointerException if {@code message} is null
     */
    protected PollensillException(String message) {
        super(Objects.requireNonNull(message, "message is null"));
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message description of the failure, with the value and its origin
     * @param cause the underlying exception
     * @throws NullPointerException if an argument is null
     */
    protected PollensillException(String message, Throwable cause) {
        super(Objects.requireNonNull(message, "message is null"), Objects.requireNonNull(cause, "cause is null"));
    }
}
