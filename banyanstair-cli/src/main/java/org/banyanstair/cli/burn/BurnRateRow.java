package org.banyanstair.cli.burn;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import org.banyanstair.burn.BurnRateSample;
import org.banyanstair.cli.output.Messages;

/** Formats a burn rate sample as table cells. */
public final class BurnRateRow {
    private BurnRateRow() {}

    /**
     * Formats a sample.
     *
     * @return service, window, requests, share of good requests, objective, burn rate and failures
     */
    public static List<String> cells(BurnRateSample sample) {
        return List.of(
                sample.service().value(),
                Messages.format("burn.window", sample.windowMinutes()),
                String.valueOf(sample.requests()),
                sample.requests() == 0 ? "-" : share((double) sample.good() / sample.requests()),
                Messages.format(
                        "burn.objective",
                        share(sample.objective().share()),
                        sample.objective().latencyMilliseconds()),
                String.format(Locale.ROOT, "%.2f", sample.burnRate()),
                failures(sample.failures()));
    }

    private static String share(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    private static String failures(Map<String, Long> failures) {
        return failures.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed().thenComparing(Map.Entry.comparingByKey()))
                .map(entry -> entry.getKey() + "=" + entry.getValue())
                .collect(Collectors.joining(" "));
    }
}
