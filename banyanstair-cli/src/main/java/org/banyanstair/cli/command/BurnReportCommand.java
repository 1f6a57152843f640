package org.banyanstair.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import okhttp3.HttpUrl;
import org.banyanstair.burn.BurnRateSnapshot;
import org.banyanstair.cli.ExitCode;
import org.banyanstair.cli.burn.BurnPage;
import org.banyanstair.cli.burn.BurnReport;
import org.banyanstair.cli.burn.BurnRow;
import org.banyanstair.cli.operator.HostAddress;
import org.banyanstair.cli.operator.HostQueries;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.TextTable;
import org.banyanstair.cli.output.Texts;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.model.HostId;

/** Collects the burn samples of all hosts. */
public final class BurnReportCommand implements Command {
    private final Console console;
    private final OperatorClient client;
    private Optional<Path> page = Optional.empty();

    /**
     * Creates the command.
     *
     * @param console receives the result
     * @param client client of the operator API
     */
    public BurnReportCommand(Console console, OperatorClient client) {
        this.console = console;
        this.client = client;
    }

    /**
     * Sets the file for an HTML page.
     *
     * @param file file to write
     */
    public void setPage(Path file) {
        this.page = Optional.of(file);
    }

    @Override
    public ExitCode call() {
        BurnReport report = collect();
        TextTable table = new TextTable(
                "column.service",
                "column.window",
                "column.requests",
                "column.good-share",
                "column.objective",
                "column.burn-rate",
                "column.failures");
        report.samples().forEach(sample -> table.row(BurnRow.cells(sample).toArray()));
        page.ifPresent(file -> write(file, report));
        if (!report.hostsWithoutAnswer().isEmpty()) {
            console.note(Texts.of("burn.incomplete", report.hostsWithoutAnswer()));
        }
        console.result(report, table.lines());
        return report.missedObjectives().isEmpty() ? ExitCode.DONE : ExitCode.NOT_REACHED;
    }

    private BurnReport collect() {
        List<EntryHost> hosts = client.status().hosts();
        console.progress(Texts.of("burn.progress", hosts.size()));
        Map<HttpUrl, Optional<BurnRateSnapshot>> answers =
                HostQueries.ask(hosts.stream().map(HostAddress::of).toList(), client::burn);
        List<BurnRateSnapshot> snapshots =
                answers.values().stream().flatMap(Optional::stream).toList();
        List<HostId> missing = hosts.stream()
                .filter(host -> answers.get(HostAddress.of(host)).isEmpty())
                .map(EntryHost::id)
                .toList();
        if (snapshots.isEmpty()) {
            throw new FailureException(new Failure.OperatorUnreachable(hosts.stream()
                    .map(host -> host.operatorAddress().toString())
                    .collect(Collectors.joining(", "))));
        }
        return BurnReport.merge(snapshots, missing);
    }

    private static void write(Path file, BurnReport report) {
        try {
            Files.writeString(file, new BurnPage(report).html());
        } catch (IOException exception) {
            throw new FailureException(new Failure.InvalidField(file.toString(), "a file that can be written"));
        }
    }
}
