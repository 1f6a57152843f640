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
        long order,
        boolean aged,
        Optional<EndpointId> bound,
        boolean needsLoad) {
    /** Premium and aged requests first, then by deadline. */
    static final Comparator<WaitingRequest> URGENCY = Comparator.comparing(WaitingRequest::isFirstClass)
            .reversed()
            .thenComparing(waiting -> waiting.message().deadline())
            .thenComparingLong(WaitingRequest::order);

    boolean isFirstClass() {
        return aged || message.priority() == PriorityClass.PREMIUM;
    }

    AdapterVersion adapter() {
        return message.adapter();
    }

    boolean mayUse(EndpointId endpoint) {
        return bound.map(endpoint::equals).orElse(true) && !message.tried().contains(endpoint);
    }

    WaitingRequest age() {
        return new WaitingRequest(holder, message, arrivedAt, order, true, bound, needsLoad);
    }
}
