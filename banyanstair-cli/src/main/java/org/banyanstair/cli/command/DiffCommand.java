package org.banyanstair.cli.command;

import java.nio.file.Path;
import java.util.List;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationDifference;
import org.banyanstair.configuration.Declarations;
import org.banyanstair.configuration.Operation;

/** Compares a declarations file with the configuration in force. */
public final class DiffCommand implements Command {
    private final Console console;
    private final OperatorClient client;
    private Path file;

    /** Creates the command. */
    public DiffCommand(Console console, OperatorClient client) {
        this.console = console;
        this.client = client;
    }

    /** Sets the declarations file. */
    public void setFile(Path file) {
        this.file = file;
    }

    @Override
    public ExitCode call() {
        return ValidateCommand.read(console, file).map(this::compare).orElse(ExitCode.INVALID_INPUT);
    }

    private ExitCode compare(Declarations declarations) {
        Configuration configuration = client.configuration();
        List<Operation> operations = ConfigurationDifference.between(configuration, declarations);
        new DifferencePrinter(configuration).print(console, operations);
        return operations.isEmpty() ? ExitCode.DONE : ExitCode.NOT_REACHED;
    }
}
