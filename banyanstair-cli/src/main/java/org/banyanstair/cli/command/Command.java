package org.banyanstair.cli.command;

import org.banyanstair.cli.ExitCode;

/** A command of the tool whose arguments are set. */
@FunctionalInterface
public interface Command {
    /**
     * Executes the command.
     *
     * @throws org.banyanstair.errors.FailureException if the command failed; the tool prints the failure
     */
    ExitCode call();
}
