package org.banyanstair.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.operator.ClusterStatus;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.cli.output.TextTable;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.peer.HostStatus;

/** Prints the state of the entry hosts. */
public final class StatusCommand implements Command {
    private final Console console;
    private final OperatorClient client;

    /** Creates the command. */
    public StatusCommand(Console console, OperatorClient client) {
        this.console = console;
        this.client = client;
    }

    @Override
    public ExitCode call() {
        ClusterStatus status = client.status();
        TextTable table = new TextTable(
                "column.host",
                "column.data-centre",
                "column.presence",
                "column.state",
                "column.version",
                "column.preset",
                "column.running",
                "column.log",
                "column.pools");
        for (EntryHost host : status.hosts()) {
            table.addRow(cells(host, status.state(host.id())).toArray());
        }
        console.printResult(status, table.lines());
        return ExitCode.DONE;
    }

    private static List<Object> cells(EntryHost host, Optional<HostStatus> answer) {
        List<Object> cells = new ArrayList<>();
        cells.add(host.id());
        cells.add(host.dataCentre());
        cells.add(Messages.format("presence." + host.presence()));
        if (answer.isEmpty()) {
            cells.addAll(List.of(Messages.format("status.no-answer"), "-", "-", "-", "-", "-"));
            return cells;
        }
        HostStatus state = answer.get();
        cells.add(Messages.format(
                state.draining() ? "status.draining" : state.ready() ? "status.ready" : "status.not-ready"));
        cells.add(state.configurationVersion());
        cells.add(state.preset());
        cells.add(state.running());
        cells.add(Messages.format(state.logReachable() ? "status.reachable" : "status.unreachable"));
        cells.add(state.ownedPools());
        return cells;
    }
}
