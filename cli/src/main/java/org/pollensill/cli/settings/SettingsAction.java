package org.pollensill.cli.settings;

import org.apache.commons.cli.Options;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;

/** An action of {@code pollensill settings}, selected by the second argument. */
interface SettingsAction {

    /** Returns the usage line without the program name. */
    String usage();

    /** Returns a one-line description for the help text. */
    String summary();

    /** Returns the options specific to the action. */
    Options options();

    /**
     * Runs the action.
     *
     * @param session the execution
     * @return the exit code
     * @throws CommandException if the action fails
     */
    int run(Session session) throws CommandException;
}
