package org.banyanstair.cli.command;

import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.ConfigurationDifference;
import org.banyanstair.configuration.Declarations;
import org.banyanstair.configuration.Operation;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** Changes the configuration to match a declarations file. */
public final class ApplyCommand extends ChangeCommand {
    private static final long POLL_INTERVAL_MILLISECONDS = 200;

    private Path file;
    private OptionalLong baseVersion = OptionalLong.empty();
    private boolean dryRun;

    /** Creates the command. */
    public ApplyCommand(Console console, OperatorClient client) {
        super(console, client);
    }

    /** Sets the declarations file. */
    public void setFile(Path file) {
        this.file = file;
    }

    /** Sets the version that must be in force; by default any version is accepted. */
    public void setBaseVersion(long version) {
        this.baseVersion = OptionalLong.of(version);
    }

    /** Sets whether the change is only printed, not submitted; false by default. */
    public void setDryRun(boolean dryRun) {
        this.dryRun = dryRun;
    }

    @Override
    public ExitCode call() {
        return ValidateCommand.read(console(), file).map(this::apply).orElse(ExitCode.INVALID_INPUT);
    }

    private ExitCode apply(Declarations declarations) {
        Configuration configuration = readConfiguration();
        List<Operation> operations = ConfigurationDifference.between(configuration, declarations);
        if (dryRun || operations.isEmpty()) {
            new DifferencePrinter(configuration).print(console(), operations);
            return ExitCode.DONE;
        }
        return submit(configuration.version(), operations);
    }

    private Configuration readConfiguration() {
        Configuration configuration = client().configuration();
        if (baseVersion.isEmpty()) {
            return configuration;
        }
        Instant deadline = deadline();
        // A host may not have read the change that created the base version yet.
        while (configuration.version() < baseVersion.getAsLong()
                && Instant.now().isBefore(deadline)) {
            sleepUntilNextPoll();
            configuration = client().configuration();
        }
        if (configuration.version() != baseVersion.getAsLong()) {
            throw new FailureException(
                    new Failure.ConfigurationConflict(baseVersion.getAsLong(), configuration.version()));
        }
        return configuration;
    }

    private static void sleepUntilNextPoll() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new FailureException(new Failure.Cancelled());
        }
    }
}
