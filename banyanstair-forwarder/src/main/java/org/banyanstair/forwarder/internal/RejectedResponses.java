package org.banyanstair.forwarder.internal;

import java.util.function.Consumer;

import org.banyanstair.forwarding.DecisionRecord;
import org.banyanstair.model.NetworkAddress;

/** Counts and logs invalid responses of endpoints. Used on the event loop thread only. */
public final class RejectedResponses {
    private final ForwarderMetrics metrics;
    private final Consumer<DecisionRecord> log;

    /**
     * Creates a recorder.
     *
     * @param log receives a decision for each fault; must bound the volume itself
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
