package org.banyanstair.metrics;

import java.util.ArrayList;
import java.util.List;

import io.prometheus.client.Collector.MetricFamilySamples.Sample;
import io.prometheus.client.dropwizard.samplebuilder.SampleBuilder;

/**
 * Encodes Prometheus labels in Dropwizard metric names as {@code name|label=value|...}, because Dropwizard metrics have
 * no labels.
 *
 * <p>Label values must not contain {@code |} or {@code =}; service names and failure codes do not.
 */
public final class LabelledMetricName {
    private LabelledMetricName() {}

    /**
     * Returns the Dropwizard name of a labelled metric.
     *
     * @param labels alternating label names and values
     */
    public static String of(String name, String... labels) {
        StringBuilder text = new StringBuilder(name);
        for (int i = 0; i < labels.length; i += 2) {
            text.append('|').append(labels[i]).append('=').append(labels[i + 1]);
        }
        return text.toString();
    }

    /** Returns a sample builder that decodes such names into samples with labels. */
    static SampleBuilder sampleBuilder() {
        return (name, suffix, extraNames, extraValues, value) -> {
            String[] parts = name.split("\\|");
            List<String> names = new ArrayList<>();
            List<String> values = new ArrayList<>();
            for (int i = 1; i < parts.length; i++) {
                int equals = parts[i].indexOf('=');
                names.add(parts[i].substring(0, equals));
                values.add(parts[i].substring(equals + 1));
            }
            names.addAll(extraNames);
            values.addAll(extraValues);
            String plain = parts[0].replaceAll("[^a-zA-Z0-9_:]", "_");
            return new Sample(plain + (suffix == null ? "" : suffix), names, values, value);
        };
    }
}
