package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;

import org.banyanstair.external.Topic;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;

/** Something that the host has to do; carried out in order. */
public sealed interface ForwardingEffect {
    /**
     * Sends a request to an endpoint.
     *
     * @param exchange the request
     * @param attempt number of the attempt, from 1
     * @param endpoint the endpoint; another process at the address must not run the request
     * @param address its address
     * @param deadline when the endpoint is to stop
     * @param rank urgency, 0 is the most urgent
     * @param adapterVersion version that the runner must have; empty without an adapter
     * @param resumeAfter id of the event after which a stream goes on
     */
    record Send(
            long exchange,
            int attempt,
            EndpointId endpoint,
            NetworkAddress address,
            Instant deadline,
            int rank,
            OptionalLong adapterVersion,
            Optional<Long> resumeAfter)
            implements ForwardingEffect {}

    /** Gives the answer of the current attempt to the caller. */
    record Deliver(long exchange) implements ForwardingEffect {}

    /** Tells the caller that its request has not run and never will. */
    record Refuse(long exchange, RefusalReason reason, Optional<Duration> retryAfter) implements ForwardingEffect {}

    /** Ends a request that may have run. */
    record Fail(long exchange, FailureReason reason) implements ForwardingEffect {}

    /** Ends the current attempt at the endpoint; its result is not wanted any more. */
    record CancelAttempt(long exchange) implements ForwardingEffect {}

    /** Sends a command to a runner. */
    record Command(AdapterCommand command) implements ForwardingEffect {}

    /** Asks a runner for its state. */
    record Inspect(EndpointId endpoint, NetworkAddress address) implements ForwardingEffect {}

    /** Reads the newest record of each key. */
    record ReadNewest(Topic topic) implements ForwardingEffect {}

    /**
     * Reads the records from an offset on.
     *
     * @param waitUntil when to return without a record
     */
    record ReadFrom(Topic topic, long offset, Instant waitUntil) implements ForwardingEffect {}

    /** Takes command of a runner if the topic of claims still ends at an offset. */
    record AppendClaim(DecodedRecord.RunnerClaimed claim, long expectedEnd) implements ForwardingEffect {}

    /** Announces this host to hosts that start later. */
    record AppendAnnouncement(HostAnnouncement announcement) implements ForwardingEffect {}

    /** Keeps a connection to a peer. */
    record OpenPeerConnection(HostId peer) implements ForwardingEffect {}

    /** Keeps a connection to a peer no longer. */
    record ClosePeerConnection(HostId peer) implements ForwardingEffect {}

    /** Sends a message to a peer. */
    record SendToPeer(HostId peer, PeerMessage message) implements ForwardingEffect {}

    /** Writes a line to the decision log. */
    record Log(DecisionRecord decision) implements ForwardingEffect {}
}
