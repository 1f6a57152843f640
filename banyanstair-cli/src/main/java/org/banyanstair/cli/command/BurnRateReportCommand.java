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
import org.banyanstair.cli.burn.BurnRateHtmlPage;
import org.banyanstair.cli.burn.BurnRateReport;
import org.banyanstair.cli.burn.BurnRateRow;
import org.banyanstair.cli.operator.HostQueries;
import org.banyanstair.cli.operator.OperatorClient;
import org.banyanstair.cli.operator.OperatorUrl;
import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.cli.output.TextTable;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.model.HostId;

/** Collects and prints the burn rate samples of all hosts. */
public final class BurnRateReportCommand implements Command {
    private final Console console;
    private final OperatorClient client;
    private Optional<Path> htmlFile = Optional.empty();

    /** Creates the command. */
    public BurnRateReportCommand(Console console, OperatorClient client) {
        this.console = console;
        this.client = client;
    }

    /** Sets the file that the report is also written to as an HTML page. */
    public void setHtmlFile(Path file) {
        this.htmlFile = Optional.of(file);
    }

    @Override
    public ExitCode call() {
        BurnRateReport report = collectReport();
        TextTable table = new TextTable(
                "column.service",
                "column.window",
                "column.requests",
                "column.good-share",
                "column.objective",
                "column.burn-rate",
                "column.failures");
        report.samples()
                .forEach(sample -> table.addRow(BurnRateRow.cells(sample).toArray()));
        htmlFile.ifPresent(file -> writeHtml(file, report));
        if (!report.hostsWithoutAnswer().isEmpty()) {
            console.printNote(Messages.format("burn.incomplete", report.hostsWithoutAnswer()));
        }
        console.printResult(report, table.lines());
        return report.servicesMissingObjective().isEmpty() ? ExitCode.DONE : ExitCode.NOT_REACHED;
    }

    private BurnRateReport collectReport() {
        List<EntryHost> hosts = client.status().hosts();
        console.showProgress(Messages.format("burn.progress", hosts.size()));
        Map<HttpUrl, Optional<BurnRateSnapshot>> answers =
                HostQueries.queryAll(hosts.stream().map(OperatorUrl::forHost).toList(), client::burnRates);
        List<BurnRateSnapshot> snapshots =
                answers.values().stream().flatMap(Optional::stream).toList();
        List<HostId> hostsWithoutAnswer = hosts.stream()
                .filter(host -> answers.get(OperatorUrl.forHost(host)).isEmpty())
                .map(EntryHost::id)
                .toList();
        if (snapshots.isEmpty()) {
            throw new FailureException(new Failure.OperatorUnreachable(hosts.stream()
                    .map(host -> host.operatorAddress().toString())
                    .collect(Collectors.joining(", "))));
        }
        return BurnRateReport.merge(snapshots, hostsWithoutAnswer);
    }

    private static void writeHtml(Path file, BurnRateReport report) {
        try {
            Files.writeString(file, new BurnRateHtmlPage(report).html());
        } catch (IOException exception) {
            throw new FailureException(new Failure.InvalidField(file.toString(), "a file that can be written"));
        }
    }
}
