package org.banyanstair.cli.command;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.Operation;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.PresetId;

/** Puts a preset in force. */
public final class PresetUseCommand extends ChangeCommand {
    private PresetId preset;

    /** Creates the command. */
    public PresetUseCommand(Console console, OperatorClient client) {
        super(console, client);
    }

    /** Sets the preset to put in force. */
    public void setPreset(PresetId preset) {
        this.preset = preset;
    }

    @Override
    public ExitCode call() {
        Configuration configuration = client().configuration();
        if (!configuration.presets().containsKey(preset)) {
            String known = "one of " + new TreeSet<>(configuration.presets().keySet());
            throw new FailureException(new Failure.InvalidField("preset", known));
        }
        if (configuration.presetInForce().equals(preset)) {
            console()
                    .printResult(
                            Map.of("version", configuration.version(), "operations", 0),
                            List.of(Messages.format("preset.already", preset, configuration.version())));
            return ExitCode.DONE;
        }
        return submit(configuration.version(), List.of(new Operation.UsePreset(preset)));
    }
}
