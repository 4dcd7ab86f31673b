package org.pollensill.cli.job;

import org.pollensill.error.PollensillException;

/** Ends a command for jobs or tasks with an error message and an exit code. */
final class CallException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final int exitCode;

    CallException(int exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
