package org.banyanstair.metrics;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

/** Exports the metrics of a registry in the Prometheus text format. */
public final class PrometheusText {
    /** Content type of the Prometheus text format, version 0.0.4. */
    public static final String CONTENT_TYPE = TextFormat.CONTENT_TYPE_004;

    private final CollectorRegistry collectors = new CollectorRegistry();

    /** Creates an exporter for a registry. */
    public PrometheusText(MetricRegistry registry) {
        collectors.register(new DropwizardExports(registry, LabelledMetricName.sampleBuilder()));
    }

    /** Returns the current metric values as UTF-8 text. */
    public byte[] write() {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, collectors.metricFamilySamples());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
