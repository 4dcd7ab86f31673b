package org.pollensill.batch;

import java.util.List;
import java.util.stream.Collectors;

import org.pollensill.error.PollensillException;

/** Thrown when a job specification is invalid; lists all of its problems. */
public final class JobSpecException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final transient List<SpecProblem> problems;

    /**
     * Creates an exception.
     *
     * @param problems the problems, at least one
     */
    public JobSpecException(List<SpecProblem> problems) {
        super(problems.stream().map(SpecProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems.
     *
     * @return all problems in the order in which they were found
     */
    public List<SpecProblem> problems() {
        return problems;
    }
}
