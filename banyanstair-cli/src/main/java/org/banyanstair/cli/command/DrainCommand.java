package org.banyanstair.cli.command;

import java.util.List;
import java.util.Map;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.model.HostId;

/** Requests that a host drains and stops. */
public final class DrainCommand implements Command {
    private final Console console;
    private final OperatorClient client;
    private HostId host;

    /** Creates the command. */
    public DrainCommand(Console console, OperatorClient client) {
        this.console = console;
        this.client = client;
    }

    /** Sets the host to drain. */
    public void setHost(HostId host) {
        this.host = host;
    }

    @Override
    public ExitCode call() {
        client.drain(host);
        console.printResult(Map.of("host", host, "draining", true), List.of(Messages.format("drain.requested", host)));
        return ExitCode.DONE;
    }
}
