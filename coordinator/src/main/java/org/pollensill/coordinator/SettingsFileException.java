package org.pollensill.coordinator;

import java.util.List;

import org.pollensill.error.PollensillException;

/** A settings file that cannot be used. */
public final class SettingsFileException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    /**
     * Creates a failure.
     *
     * @param problems what is wrong, one line each
     */
    public SettingsFileException(List<String> problems) {
        super(String.join("; ", problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns what is wrong.
     *
     * @return one line per problem
     */
    public List<String> problems() {
        return problems;
    }
}
