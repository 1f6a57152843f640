package org.banyanstair.cli.command;

import java.util.Comparator;
import java.util.List;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.cli.output.TextTable;
import org.banyanstair.peer.EndpointReport;

/** Prints the state of the endpoints. */
public final class EndpointsCommand implements Command {
    private final Console console;
    private final OperatorClient client;

    /** Creates the command. */
    public EndpointsCommand(Console console, OperatorClient client) {
        this.console = console;
        this.client = client;
    }

    @Override
    public ExitCode call() {
        List<EndpointReport> reports = client.endpoints().stream()
                .sorted(Comparator.comparing(
                                (EndpointReport report) -> report.pool().value())
                        .thenComparing(report -> report.endpoint().value()))
                .toList();
        TextTable table = new TextTable(
                "column.pool",
                "column.endpoint",
                "column.presence",
                "column.state",
                "column.owner",
                "column.running",
                "column.slots",
                "column.loaded");
        reports.forEach(report -> table.addRow(
                report.pool(),
                report.endpoint(),
                Messages.format("presence." + report.presence()),
                Messages.format(report.reachable() ? "status.reachable" : "status.unreachable"),
                report.owner(),
                report.running() + "/" + report.batchLimit(),
                report.loaded().size() + "/" + report.slots(),
                String.join(" ", report.loaded())));
        console.printResult(reports, table.lines());
        return ExitCode.DONE;
    }
}
