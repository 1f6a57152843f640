package org.banyanstair.integration.quickstart;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.HdrHistogram.Histogram;
import org.banyanstair.testsupport.load.CallerResult;

/** Formats the result of a run as the lines of the report. */
final class QuickStartReport {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROSECONDS_PER_MILLISECOND = 1_000;
    private static final String ROW = "  %-30s %8s %8s %8s %8s %8s %8s %8s %8s";

    private static final String COUNT = "  %-44s %6d";

    private final QuickStartResult result;
    private final List<String> lines = new ArrayList<>();

    private QuickStartReport(QuickStartResult result) {
        this.result = result;
    }

    static List<String> lines(QuickStartResult result) {
        return new QuickStartReport(result).write();
    }

    private List<String> write() {
        writeKinds();
        writeAdapters();
        writeRefusals();
        writeKilledHost();
        writePromises();
        return lines;
    }

    private void add(String format, Object... values) {
        lines.add(String.format(Locale.ROOT, format, values).stripTrailing());
    }

    private void writeKinds() {
        add("Requests by kind; the latencies are of answered requests and include repeated attempts");
        add(ROW, "", "requests", "answered", "not run", "unknown", "repeated", "p50 ms", "p95 ms", "p99 ms");
        for (RequestKind kind : RequestKind.values()) {
            Map<String, List<SampleResult>> groups = new TreeMap<>();
            result.results().stream()
                    .filter(each -> each.request().kind() == kind)
                    .forEach(each -> groups.computeIfAbsent(each.request().group(), group -> new ArrayList<>())
                            .add(each));
            groups.forEach(this::writeKind);
        }
        add("");
    }

    private void writeKind(String group, List<SampleResult> results) {
        Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
        results.stream()
                .filter(SampleResult::isAnswered)
                .forEach(each -> latencies.recordValue(each.latency().toNanos() / 1_000));
        add(
                ROW,
                group,
                results.size(),
                count(results, SampleResult::isAnswered),
                count(results, each -> each.last() instanceof CallerResult.NotRun),
                count(results, QuickStartReport::isUnknown),
                count(results, each -> each.attempts().size() > 1),
                milliseconds(latencies, 50),
                milliseconds(latencies, 95),
                milliseconds(latencies, 99));
    }

    private static long count(List<SampleResult> results, Predicate<SampleResult> condition) {
        return results.stream().filter(condition).count();
    }

    private static String milliseconds(Histogram latencies, double percentile) {
        return latencies.getTotalCount() == 0
                ? "-"
                : String.format(
                        Locale.ROOT, "%.1f", latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND);
    }

    private void writeAdapters() {
        add("Answers by adapter version");
        Map<String, Integer> answers = new TreeMap<>();
        for (SampleResult each : result.results()) {
            if (each.last() instanceof CallerResult.Generated generated) {
                answers.merge(generated.model(), 1, Integer::sum);
            }
        }
        answers.forEach((adapter, count) -> add(COUNT, adapter, count));
        add("");
    }

    private void writeRefusals() {
        add("Bad requests");
        result.results().stream()
                .filter(each -> each.request().refusal().isPresent())
                .forEach(each -> add("  %-44s %s", each.request().refusal().get(), outcome(each.last())));
        add("");
    }

    private static String outcome(CallerResult last) {
        return last instanceof CallerResult.NotRun notRun ? "not run, status " + notRun.status() : last.toString();
    }

    private void writeKilledHost() {
        List<SampleResult> disconnected = result.results().stream()
                .filter(each -> each.attempts().stream().anyMatch(SampleResult.Attempt::isConnectionLost))
                .toList();
        add("Host %s was killed with SIGKILL while requests ran", result.killed());
        add(COUNT, "lost their connection: outcome unknown", disconnected.size());
        add(COUNT, "answered when sent again with the same key", count(disconnected, SampleResult::isAnswered));
        add(
                COUNT,
                "still unknown, ran once by the record",
                count(disconnected, each -> isUnknown(each) && wasRun(each)));
        add(
                COUNT,
                "still unknown, never ran by the record",
                count(disconnected, each -> isUnknown(each) && !wasRun(each)));
        add("");
    }

    private static boolean isUnknown(SampleResult each) {
        return each.last() instanceof CallerResult.Unknown;
    }

    private boolean wasRun(SampleResult each) {
        return result.runs().stream()
                .anyMatch(run -> run.key().equals(each.request().key()));
    }

    private void writePromises() {
        add("Promises, from the endpoints' records of %d runs", result.runs().size());
        for (Promise promise : Promise.values()) {
            List<BrokenPromise> broken = result.broken().stream()
                    .filter(each -> each.promise() == promise)
                    .toList();
            add("  %-8s %s", broken.isEmpty() ? "held" : "BROKEN", promise.text());
            broken.forEach(each -> lines.add("           " + each.detail()));
        }
    }
}
