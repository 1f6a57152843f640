package org.banyanstair.server.daemon;

import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import org.banyanstair.metrics.PrometheusText;
import org.banyanstair.transport.TransportCounters;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class TransportMetricsTest {
    /** Guards against totals that are read only at registration, or exported under the name of another total. */
    @Test
    void eachTotalIsReadWhenTheMetricsAreWritten() {
        long[] base = {0};
        MetricRegistry registry = new MetricRegistry();
        new TransportMetrics(
                        registry,
                        () -> new TransportCounters(
                                base[0] + 1,
                                base[0] + 2,
                                base[0] + 3,
                                base[0] + 4,
                                base[0] + 5,
                                base[0] + 6,
                                base[0] + 7,
                                base[0] + 8,
                                base[0] + 9))
                .register();
        base[0] = 100;
        String text = new String(new PrometheusText(registry).write(), StandardCharsets.UTF_8);
        assertSample(text, "frames_in", 101);
        assertSample(text, "frames_out", 102);
        assertSample(text, "bytes_in", 103);
        assertSample(text, "bytes_out", 104);
        assertSample(text, "malformed_frames", 105);
        assertSample(text, "rejected_handshakes", 106);
        assertSample(text, "connections_opened", 107);
        assertSample(text, "connections_closed", 108);
        assertSample(text, "dropped_messages", 109);
    }

    private static void assertSample(String text, String name, long value) {
        assertTrue(text.contains("banyanstair_peer_" + name + " " + value + ".0\n"), text);
    }
}
