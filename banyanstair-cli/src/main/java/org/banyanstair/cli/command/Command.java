package org.banyanstair.cli.command;

import org.banyanstair.cli.ExitCode;

/** One command of the tool, with its arguments set. */
@FunctionalInterface
public interface Command {
    /**
     * Executes the command.
     *
     * @return the exit code
     * @throws org.banyanstair.errors.FailureException if the command failed; the tool prints the failure
     */
    ExitCode call();
}
