package org.banyanstair.cli.command;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.TextTable;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.Preset;

/** Lists the presets and marks the one in force. */
public final class PresetListCommand implements Command {
    private final Console console;
    private final OperatorClient client;

    /** Creates the command. */
    public PresetListCommand(Console console, OperatorClient client) {
        this.console = console;
        this.client = client;
    }

    @Override
    public ExitCode call() {
        Configuration configuration = client.configuration();
        List<Preset> presets = List.copyOf(new TreeMap<>(configuration.presets()).values());
        TextTable table = new TextTable(
                "column.in-force",
                "column.preset",
                "column.fullness",
                "column.ageing",
                "column.copy-after",
                "column.retry-share",
                "column.admits");
        presets.forEach(preset -> table.addRow(
                preset.id().equals(configuration.presetInForce()) ? "*" : "",
                preset.id(),
                preset.fullness(),
                preset.standardAgeingMilliseconds(),
                preset.copyAfterMilliseconds(),
                preset.retryShare(),
                preset.admitsRequests()));
        console.printResult(Map.of("inForce", configuration.presetInForce(), "presets", presets), table.lines());
        return ExitCode.DONE;
    }
}
