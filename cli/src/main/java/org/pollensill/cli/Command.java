package org.pollensill.cli;

import java.io.PrintStream;
import java.util.List;

/** A command of the command-line tool, selected by the first argument. */
public interface Command {

    /**
     * Returns the first argument that selects the command.
     *
     * @return the name
     */
    String name();

    /**
     * Returns a one-line description for the help text.
     *
     * @return the summary
     */
    String summary();

    /**
     * Runs the command.
     *
     * @param arguments the arguments after the command name
     * @param out the stream for results
     * @param err the stream for error messages
     * @return the exit code, see {@link ExitCode}
     */
    int run(List<String> arguments, PrintStream out, PrintStream err);
}
