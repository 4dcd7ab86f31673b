package org.pollensill.entry;

import org.pollensill.error.PollensillException;

/** Thrown when a caller's request is malformed or names an unknown path or service. */
final class BadRequestException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final int status;
    private final String type;

    BadRequestException(int status, String type, String message) {
        super(message);
        this.status = status;
        this.type = type;
    }

    int status() {
        return status;
    }

    String type() {
        return type;
    }
}
