package org.pollensill.cli.admin;

import org.pollensill.error.PollensillException;

/** Ends a command with an error message and an exit code. */
public final class CommandException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final int exitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode the exit code, see {@link org.pollensill.cli.ExitCode}
     * @param message what failed
     */
    public CommandException(int exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code.
     *
     * @return the exit code
     */
    public int exitCode() {
        return exitCode;
    }
}
