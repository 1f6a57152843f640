package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.banyanstair.crashes.CrashedRequest;
import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.teams.TeamName;
import org.banyanstair.versions.SoftwareVersion;
import org.banyanstair.versions.StreamBatch;

/** An action for the host; actions are executed in order. */
public sealed interface ForwardingEffect {
    /**
     * Sends a request to an endpoint.
     *
     * @param attempt number of the attempt, from 1
     * @param endpoint the endpoint; another process at the address must not run the request
     * @param sendBefore when the request must have been sent
     * @param deadline when the endpoint must stop
     * @param rank urgency; 0 is the most urgent
     * @param team team of the request; empty in a deployment without teams or on an open route
     * @param adapterVersion version that the runner must have; empty without an adapter
     * @param resumeAfter id of the event after which a stream is resumed
     * @param started start of the only process of the endpoint that may run the request, in milliseconds since 1970;
     *     empty if any process of the endpoint may
     */
    record Send(
            long exchange,
            int attempt,
            EndpointId endpoint,
            NetworkAddress address,
            Instant sendBefore,
            Instant deadline,
            int rank,
            Optional<TeamName> team,
            OptionalLong adapterVersion,
            Optional<Long> resumeAfter,
            OptionalLong started)
            implements ForwardingEffect {}

    /** Delivers the answer of the current attempt to the caller. */
    record Deliver(long exchange) implements ForwardingEffect {}

    /** Answers the caller that its request has not run and will not run. */
    record Refuse(long exchange, RefusalReason reason, Optional<Duration> retryAfter) implements ForwardingEffect {}

    /** Answers the caller that its request failed and may have run. */
    record Fail(long exchange, FailureReason reason) implements ForwardingEffect {}

    /** Cancels the current attempt at the endpoint and discards its result. */
    record CancelAttempt(long exchange) implements ForwardingEffect {}

    /** Sends a command to a runner. */
    record Command(AdapterCommand command) implements ForwardingEffect {}

    /** Opens and closes a connection to an endpoint, to learn whether its process is gone. */
    record CheckConnection(EndpointId endpoint, NetworkAddress address, long started) implements ForwardingEffect {}

    /** Queries the state of a runner. */
    record Inspect(EndpointId endpoint, NetworkAddress address) implements ForwardingEffect {}

    /** Reads a snapshot of a topic: the newest record of each key. */
    record ReadNewest(Topic topic) implements ForwardingEffect {}

    /**
     * Reads the records from a position on.
     *
     * @param waitUntil when to return if no record arrives
     */
    record ReadFrom(Topic topic, LogPosition from, Instant waitUntil) implements ForwardingEffect {}

    /** Appends a claim if the claims topic still ends at the expected position. */
    record AppendClaim(DecodedRecord.RunnerClaimed claim, LogPosition expectedEnd) implements ForwardingEffect {}

    /** Appends this host's announcement, for hosts that start later. */
    record AppendAnnouncement(HostAnnouncement announcement) implements ForwardingEffect {}

    /** Appends that requests with a prompt part are refused, for hosts that start later. */
    record AppendPartRefusal(DecodedRecord.PartRefused refusal) implements ForwardingEffect {}

    /** Appends which endpoints crashed while they ran a request, for hosts that start later. */
    record AppendCrashedRequest(CrashedRequest request) implements ForwardingEffect {}

    /** Appends which versions began streams, for hosts that start later; the record replaces an old one of this host. */
    record AppendStreams(HostId host, List<StreamBatch> batches) implements ForwardingEffect {}

    /**
     * Appends which software versions serve a service, for hosts that start later.
     *
     * @param served when each served last; {@link Instant#MAX} if it serves now
     */
    record AppendVersions(String service, Map<SoftwareVersion, Instant> served) implements ForwardingEffect {}

    /** Opens a connection to a peer and keeps it open. */
    record OpenPeerConnection(HostId peer) implements ForwardingEffect {}

    /** Closes the connection to a peer. */
    record ClosePeerConnection(HostId peer) implements ForwardingEffect {}

    /** Sends a message to a peer. */
    record SendToPeer(HostId peer, PeerMessage message) implements ForwardingEffect {}

    /** Writes a line to the decision log. */
    record Log(DecisionRecord decision) implements ForwardingEffect {}
}
