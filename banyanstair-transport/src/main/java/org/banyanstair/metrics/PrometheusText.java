package org.banyanstair.metrics;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

/** Writes the metrics of a registry in the Prometheus text format. */
public final class PrometheusText {
    /** Content type of the format. */
    public static final String CONTENT_TYPE = TextFormat.CONTENT_TYPE_004;

    private final CollectorRegistry collectors = new CollectorRegistry();

    /**
     * Creates the writer.
     *
     * @param registry the metrics
     */
    public PrometheusText(MetricRegistry registry) {
        collectors.register(new DropwizardExports(registry, LabelledMetricName.sampleBuilder()));
    }

    /**
     * Writes the current values.
     *
     * @return the text in UTF-8
     */
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
