package org.banyanstair.integration.bench;

/** Metrics in the Prometheus text format. */
final class MetricsText {
    private final String text;

    MetricsText(String text) {
        this.text = text;
    }

    /** Returns the value of a sample without labels. */
    double value(String name) {
        return text.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no metric sample without labels is named " + name));
    }
}
