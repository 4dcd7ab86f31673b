package org.pollensill.json;

import org.pollensill.error.PollensillException;

/** Text that is not the JSON value that was expected. */
public final class JsonSyntaxException extends PollensillException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates a failure.
     *
     * @param message what is wrong
     */
    public JsonSyntaxException(String message) {
        super(message);
    }

    /**
     * Creates a failure found by the parser.
     *
     * @param message what is wrong
     * @param cause the parser's failure
     */
    public JsonSyntaxException(String message, Throwable cause) {
        super(message, cause);
    }
}
