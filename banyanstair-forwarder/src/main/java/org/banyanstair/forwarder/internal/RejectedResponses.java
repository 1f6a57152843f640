package org.banyanstair.forwarder.internal;

import java.util.function.Consumer;

import org.banyanstair.forwarding.DecisionRecord;
import org.banyanstair.model.NetworkAddress;

/** Counts and logs bytes that were rejected as an answer. Used on the thread of the connections only. */
public final class RejectedResponses {
    private final ForwarderMetrics metrics;
    private final Consumer<DecisionRecord> log;

    /**
     * Creates a counter.
     *
     * @param metrics where faults are counted
     * @param log where faults are logged; bounds the volume
     */
    public RejectedResponses(ForwarderMetrics metrics, Consumer<DecisionRecord> log) {
        this.metrics = metrics;
        this.log = log;
    }

    void record(NetworkAddress address, ResponseFault fault) {
        metrics.countRejectedResponse(fault);
        log.accept(DecisionRecord.of("answer-rejected", "address", address, "fault", fault.label()));
    }
}
