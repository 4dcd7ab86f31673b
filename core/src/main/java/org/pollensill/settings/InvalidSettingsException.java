package org.pollensill.settings;

import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

import org.pollensill.error.PollensillException;

/** Thrown if settings are invalid. Lists all problems found, not only the first. */
public final class InvalidSettingsException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * Creates an exception.
     *
     * @param problems the problems, at least one
     */
    public InvalidSettingsException(List<Problem> problems) {
        super(Objects.requireNonNull(problems, "problems is null").stream()
                .map(Problem::toString)
                .collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems.
     *
     * @return all problems found
     */
    public List<Problem> problems() {
        return problems;
    }
}
