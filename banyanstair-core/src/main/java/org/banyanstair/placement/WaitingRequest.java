package org.banyanstair.placement;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;

import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.peer.PeerMessage;

/**
 * A request that waits for a permit.
 *
 * @param holder daemon that asked
 * @param message what it asked for
 * @param arrivedAt when it asked first
 * @param order order of arrival
 * @param aged whether it has waited for the ageing limit and counts as premium
 * @param bound engine that it has to use, empty if any will do
 * @param needsLoad whether no engine that it may use had its adapter when it arrived
 */
record WaitingRequest(
        HostIdentity holder,
        PeerMessage.PermitRequest message,
        Instant arrivedAt,
        long arrivalOrder,
        boolean promoted,
        Optional<EndpointId> boundEngine,
        boolean coldStart) {
    /** Premium and aged requests first, then by deadline. */
    static final Comparator<WaitingRequest> BY_URGENCY = Comparator.comparing(WaitingRequest::isHighPriority)
            .reversed()
            .thenComparing(waiting -> waiting.message().deadline())
            .thenComparingLong(WaitingRequest::arrivalOrder);

    boolean isHighPriority() {
        return promoted || message.priority() == PriorityClass.PREMIUM;
    }

    AdapterVersion adapter() {
        return message.adapter();
    }

    boolean canUse(EndpointId endpoint) {
        return boundEngine.map(endpoint::equals).orElse(true)
                && !message.tried().contains(endpoint);
    }

    WaitingRequest promote() {
        return new WaitingRequest(holder, message, arrivedAt, arrivalOrder, true, boundEngine, coldStart);
    }
}
