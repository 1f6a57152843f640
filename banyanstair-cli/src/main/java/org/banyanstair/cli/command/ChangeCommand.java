package org.banyanstair.cli.command;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.operator.ChangeSubmitter;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.configuration.Operation;
import org.banyanstair.model.HostId;

/** Base class of the commands that change the configuration. */
abstract class ChangeCommand implements Command {
    /** An accepted change is in force on all hosts within 9 s; the margin covers hosts that restart meanwhile. */
    private static final Duration DEFAULT_WAIT_TIMEOUT = Duration.ofSeconds(60);

    private final Console console;
    private final OperatorClient client;
    private Duration waitTimeout = DEFAULT_WAIT_TIMEOUT;
    private boolean waitForHosts = true;

    ChangeCommand(Console console, OperatorClient client) {
        this.console = console;
        this.client = client;
    }

    /** Sets the timeout of waiting for an outcome, and for a version on the hosts; 60 s by default. */
    public void setWaitTimeout(Duration waitTimeout) {
        this.waitTimeout = waitTimeout;
    }

    /** Sets whether the command waits until all live hosts report the new version; true by default. */
    public void setWaitForHosts(boolean waitForHosts) {
        this.waitForHosts = waitForHosts;
    }

    Console console() {
        return console;
    }

    OperatorClient client() {
        return client;
    }

    Instant deadline() {
        return Instant.now().plus(waitTimeout);
    }

    ExitCode submit(long baseVersion, List<Operation> operations) {
        ChangeSubmitter submitter = new ChangeSubmitter(client, console, waitTimeout);
        long version = submitter.submit(baseVersion, operations);
        if (!waitForHosts) {
            printResult(version, operations, "change.accepted", List.of());
            return ExitCode.DONE;
        }
        console.printNote(Messages.format("change.accepted", version, operations.size(), ""));
        List<HostId> missing = submitter.awaitVersionOnLiveHosts(version);
        printResult(version, operations, missing.isEmpty() ? "change.everywhere" : "change.missing", missing);
        return missing.isEmpty() ? ExitCode.DONE : ExitCode.NOT_REACHED;
    }

    private void printResult(long version, List<Operation> operations, String messageKey, List<HostId> missing) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("version", version);
        document.put("operations", operations.size());
        document.put("waited", waitForHosts);
        document.put("hostsWithoutVersion", missing);
        console.printResult(document, List.of(Messages.format(messageKey, version, operations.size(), missing)));
    }
}
