package org.pollensill.runtime.boot;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

import org.pollensill.error.PollensillException;

/** Thrown when a boot file is invalid; lists all problems of the file. */
public final class BootFileException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    /**
     * Creates an exception.
     *
     * @param file the file
     * @param problems all problems, each with its path
     */
    public BootFileException(Path file, List<String> problems) {
        super(file + ": " + String.join("; ", Objects.requireNonNull(problems, "problems is null")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns all problems.
     *
     * @return the problems
     */
    public List<String> problems() {
        return problems;
    }
}
