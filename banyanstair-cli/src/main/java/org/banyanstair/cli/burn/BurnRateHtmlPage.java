package org.banyanstair.cli.burn;

import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import org.banyanstair.burn.BurnRateSample;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.model.ServiceId;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Renders a burn rate report as a self-contained HTML page. */
public final class BurnRateHtmlPage {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 450;

    private final BurnRateReport report;

    /** Creates the page of a report. */
    public BurnRateHtmlPage(BurnRateReport report) {
        this.report = report;
    }

    /**
     * Renders the page.
     *
     * @throws IOException if the chart cannot be rendered
     */
    public String html() throws IOException {
        String rows = report.samples().stream().map(BurnRateHtmlPage::row).collect(Collectors.joining("\n"));
        String missing = report.hostsWithoutAnswer().isEmpty()
                ? ""
                : "<p>" + Messages.format("burn.incomplete", report.hostsWithoutAnswer()) + "</p>\n";
        return "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\"><title>"
                + Messages.format("burn.title")
                + "</title>\n<style>body{font-family:sans-serif}td,th{padding:0.2em 0.8em;text-align:left}</style>"
                + "</head>\n<body>\n<h1>" + Messages.format("burn.title") + "</h1>\n<p>"
                + Messages.format("burn.taken-at", report.takenAt()) + "</p>\n" + missing + chart() + "<table>\n"
                + header()
                + rows + "\n</table>\n</body>\n</html>\n";
    }

    private static String header() {
        return List.of(
                        "column.service",
                        "column.window",
                        "column.requests",
                        "column.good-share",
                        "column.objective",
                        "column.burn-rate",
                        "column.failures")
                .stream()
                .map(key -> "<th>" + Messages.format(key) + "</th>")
                .collect(Collectors.joining("", "<tr>", "</tr>\n"));
    }

    private static String row(BurnRateSample sample) {
        return BurnRateRow.cells(sample).stream()
                .map(cell -> "<td>" + escape(cell) + "</td>")
                .collect(Collectors.joining("", "<tr>", "</tr>"));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private String chart() throws IOException {
        List<ServiceId> services = report.samples().stream()
                .map(BurnRateSample::service)
                .distinct()
                .toList();
        if (services.isEmpty()) {
            return "";
        }
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(Messages.format("burn.title"))
                .xAxisTitle(Messages.format("column.service"))
                .yAxisTitle(Messages.format("column.burn-rate"))
                .build();
        chart.getStyler().setLocale(Locale.ROOT);
        List<String> names = services.stream().map(ServiceId::value).toList();
        report.samples().stream()
                .map(BurnRateSample::windowMinutes)
                .distinct()
                .sorted()
                .forEach(window -> chart.addSeries(
                        Messages.format("burn.window", window),
                        names,
                        services.stream()
                                .map(service -> burnRate(service, window))
                                .toList()));
        String image =
                Base64.getEncoder().encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
        return "<img alt=\"" + Messages.format("burn.title") + "\" src=\"data:image/png;base64," + image + "\">\n";
    }

    private double burnRate(ServiceId service, int window) {
        return report.samples().stream()
                .filter(sample -> sample.service().equals(service) && sample.windowMinutes() == window)
                .mapToDouble(BurnRateSample::burnRate)
                .findFirst()
                .orElse(0);
    }
}
