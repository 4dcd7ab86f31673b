package org.pollensill.runtime.admin;

import java.nio.file.Path;

import org.pollensill.error.PollensillException;

/** Thrown when a file of operators' tokens is unreadable or invalid. */
public final class OperatorTokensException extends PollensillException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param file the file
     * @param problem the defect of the file
     */
    public OperatorTokensException(Path file, String problem) {
        super(file + ": " + problem);
    }
}
