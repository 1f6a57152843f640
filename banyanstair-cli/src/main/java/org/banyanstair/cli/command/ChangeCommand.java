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
import org.banyanstair.cli.output.Texts;
import org.banyanstair.configuration.Operation;
import org.banyanstair.model.HostId;

/** Base of the commands that change the configuration. */
abstract class ChangeCommand implements Command {
    /** An accepted change is in force everywhere within 9 s; the rest is for hosts that restart meanwhile. */
    private static final Duration DEFAULT_WAIT = Duration.ofSeconds(60);

    private final Console console;
    private final OperatorClient client;
    private Duration wait = DEFAULT_WAIT;
    private boolean waiting = true;

    ChangeCommand(Console console, OperatorClient client) {
        this.console = console;
        this.client = client;
    }

    /**
     * Sets how long outcomes and versions are waited for.
     *
     * @param wait the time, 60 s by default
     */
    public void setWait(Duration wait) {
        this.wait = wait;
    }

    /**
     * Sets whether the command waits until all live hosts have the new version.
     *
     * @param waiting true by default
     */
    public void setWaiting(boolean waiting) {
        this.waiting = waiting;
    }

    Console console() {
        return console;
    }

    OperatorClient client() {
        return client;
    }

    Instant deadline() {
        return Instant.now().plus(wait);
    }

    ExitCode submit(long baseVersion, List<Operation> operations) {
        ChangeSubmitter submitter = new ChangeSubmitter(client, console, wait);
        long version = submitter.submit(baseVersion, operations);
        if (!waiting) {
            print(version, operations, "change.accepted", List.of());
            return ExitCode.DONE;
        }
        console.note(Texts.of("change.accepted", version, operations.size(), ""));
        List<HostId> missing = submitter.awaitEverywhere(version);
        print(version, operations, missing.isEmpty() ? "change.everywhere" : "change.missing", missing);
        return missing.isEmpty() ? ExitCode.DONE : ExitCode.NOT_REACHED;
    }

    private void print(long version, List<Operation> operations, String text, List<HostId> missing) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("version", version);
        document.put("operations", operations.size());
        document.put("waited", waiting);
        document.put("hostsWithoutVersion", missing);
        console.result(document, List.of(Texts.of(text, version, operations.size(), missing)));
    }
}
