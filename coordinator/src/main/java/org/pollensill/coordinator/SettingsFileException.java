package org.pollensill.coordinator;

import java.util.List;

import org.pollensill.error.PollensillException;

/** Signals that a settings file cannot be read or is invalid. */
public final class SettingsFileException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    /**
     * Creates an exception.
     *
     * @param problems the problems, one line each
     */
    public SettingsFileException(List<String> problems) {
        super(String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems of the file.
     *
     * @return one line per problem
     */
    public List<String> problems() {
        return problems;
    }
}
