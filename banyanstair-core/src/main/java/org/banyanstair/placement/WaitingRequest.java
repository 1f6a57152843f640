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
 * @param holder host that sent the request
 * @param arrivedAt when it arrived at this owner
 * @param arrivalOrder tie-breaker among requests with the same deadline
 * @param promoted whether it has waited for the ageing limit and now has premium priority
 * @param boundEngine engine that it has to use, or empty if any engine may serve it
 * @param coldStart whether no engine that it may use had its adapter loaded on arrival
 */
record WaitingRequest(
        HostIdentity holder,
        PeerMessage.PermitRequest message,
        Instant arrivedAt,
        long arrivalOrder,
        boolean promoted,
        Optional<EndpointId> boundEngine,
        boolean coldStart) {
    /** Premium and promoted requests first, then earliest deadline first. */
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
