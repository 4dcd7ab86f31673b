package org.pollensill.cli.settings;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

import org.apache.commons.cli.Options;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;

/**
 * Writes the tree to a file for editing. The first line contains the revision, so that {@code settings apply} can
 * detect concurrent changes.
 */
final class EditAction implements SettingsAction {

    @Override
    public String usage() {
        return "settings edit FILE";
    }

    @Override
    public String summary() {
        return "write the tree to a new file for editing";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(Session session) throws CommandException {
        Path file = Path.of(session.operands(1, 1).get(0));
        SettingsChanges.RevisionedTree current = SettingsChanges.readTree(session.client(), java.util.Optional.empty());
        String text = SettingsChanges.REVISION_HEADER + current.revision() + "\n"
                + SettingsChanges.pretty(
                        SettingsChanges.parseJson(current.tree().toJson())) + "\n";
        try {
            Files.writeString(file, text, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        } catch (FileAlreadyExistsException e) {
            throw new CommandException(ExitCode.REFUSED, file + " already exists and is not overwritten");
        } catch (IOException e) {
            throw new CommandException(ExitCode.REFUSED, "cannot write " + file + ": " + e.getMessage());
        }
        session.print(
                SettingsChanges.MAPPER
                        .createObjectNode()
                        .put("file", file.toString())
                        .put("revision", current.revision()),
                () -> session.out()
                        .println("wrote revision " + current.revision() + " to " + file
                                + "; edit it, then run: pollensill settings apply " + file + " --reason TEXT"));
        return ExitCode.OK;
    }
}
