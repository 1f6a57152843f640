package org.banyanstair.cli.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.declarations.DeclarationsReader;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.configuration.Declarations;
import org.banyanstair.toml.TomlResult;

/** Validates a declarations file without a connection to the hosts. */
public final class ValidateCommand implements Command {
    private final Console console;
    private Path file;

    /** Creates the command. */
    public ValidateCommand(Console console) {
        this.console = console;
    }

    /** Sets the declarations file. */
    public void setFile(Path file) {
        this.file = file;
    }

    @Override
    public ExitCode call() {
        return read(console, file).map(this::print).orElse(ExitCode.INVALID_INPUT);
    }

    private ExitCode print(Declarations declarations) {
        int services = declarations.services().size();
        int adapters = declarations.adapters().size();
        console.printResult(
                Map.of("valid", true, "services", services, "adapters", adapters),
                List.of(Messages.format("validate.valid", file, services, adapters)));
        return ExitCode.DONE;
    }

    /** Reads a declarations file; prints the errors and returns empty if it is invalid. */
    static Optional<Declarations> read(Console console, Path file) {
        TomlResult<Declarations> result = DeclarationsReader.read(file);
        if (result instanceof TomlResult.Valid<Declarations> valid) {
            return Optional.of(valid.value());
        }
        console.printFailures(result.failures());
        return Optional.empty();
    }
}
