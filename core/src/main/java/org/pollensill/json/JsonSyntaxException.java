package org.pollensill.json;

import org.pollensill.error.PollensillException;

/** Thrown if a text is not valid JSON or not the expected JSON value. */
public final class JsonSyntaxException extends PollensillException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message description of the error
     */
    public JsonSyntaxException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message description of the error
     * @param cause the underlying exception
     */
    public JsonSyntaxException(String message, Throwable cause) {
        super(message, cause);
    }
}
