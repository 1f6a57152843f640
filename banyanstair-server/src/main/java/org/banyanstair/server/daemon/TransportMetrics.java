package org.banyanstair.server.daemon;

import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.banyanstair.transport.TransportCounters;

/** Registers gauges for the totals of the peer transport. */
final class TransportMetrics {
    private static final String PREFIX = "banyanstair_peer_";

    private final MetricRegistry registry;
    private final Supplier<TransportCounters> counters;

    TransportMetrics(MetricRegistry registry, Supplier<TransportCounters> counters) {
        this.registry = registry;
        this.counters = counters;
    }

    void register() {
        gauge("frames_in", TransportCounters::framesIn);
        gauge("frames_out", TransportCounters::framesOut);
        gauge("bytes_in", TransportCounters::bytesIn);
        gauge("bytes_out", TransportCounters::bytesOut);
        gauge("malformed_frames", TransportCounters::malformedFrames);
        gauge("rejected_handshakes", TransportCounters::rejectedHandshakes);
        gauge("connections_opened", TransportCounters::connectionsOpened);
        gauge("connections_closed", TransportCounters::connectionsClosed);
        gauge("dropped_messages", TransportCounters::droppedMessages);
    }

    private void gauge(String name, ToLongFunction<TransportCounters> value) {
        registry.gauge(PREFIX + name, () -> (Gauge<Long>) () -> value.applyAsLong(counters.get()));
    }
}
