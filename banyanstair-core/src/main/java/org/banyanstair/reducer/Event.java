package org.banyanstair.reducer;

import java.time.Instant;
import java.util.List;

import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.EngineCommandResult;
import org.banyanstair.external.EngineStatus;
import org.banyanstair.external.ServiceCallResult;
import org.banyanstair.membership.HostListing;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.AttemptOutcome;
import org.banyanstair.peer.PeerMessage;

/** An input of the reducer, with the instant at which the daemon observed it. */
public sealed interface Event {
    /**
     * Returns when the daemon observed the event.
     *
     * @return the instant; events reach the reducer in this order
     */
    Instant at();

    /** The periodic tick, which drives all timeouts. */
    record Tick(Instant at) implements Event {}

    /** The host list was read. */
    record HostListRead(Instant at, HostListing listing) implements Event {}

    /** Records of a followed stream were read; {@code end} is the offset that the next append will get. */
    record StreamRead(Instant at, String stream, long next, long end, List<StreamEntry> entries) implements Event {}

    /** The next offset of a followed stream has expired; reading continues at the earliest one. */
    record StreamExpired(Instant at, String stream, long earliest) implements Event {}

    /** A followed stream could not be read; the daemon keeps retrying. */
    record StreamUnavailable(Instant at, String stream) implements Event {}

    /** The log service did not store an append. */
    record AppendRejected(Instant at, long appendId, Failure failure) implements Event {}

    /** The log service stored an append, or may have; only reading the stream shows which. */
    record AppendEnded(Instant at, long appendId) implements Event {}

    /** A connection to a peer was established. */
    record PeerConnected(Instant at, HostIdentity peer) implements Event {}

    /** A peer could not be reached. */
    record PeerUnreachable(Instant at, HostId peer) implements Event {}

    /** A peer sent a message. */
    record PeerMessageReceived(Instant at, HostIdentity sender, PeerMessage message) implements Event {}

    /** A caller of this host requested a generation. */
    record GenerationArrived(Instant at, GenerationRequest request) implements Event {}

    /** The caller of a generation has disconnected. */
    record GenerationCancelled(Instant at, RequestId request) implements Event {}

    /** An attempt at an engine has ended. */
    record AttemptEnded(Instant at, RequestId request, int attempt, AttemptOutcome outcome) implements Event {}

    /** A caller of this host called a plain service. */
    record CallArrived(Instant at, CallRequest call) implements Event {}

    /** A dispatch to a plain service has ended. */
    record DispatchEnded(Instant at, long dispatchId, ServiceCallResult result) implements Event {}

    /** A command to load an adapter has completed. */
    record LoadEnded(Instant at, EndpointId endpoint, AdapterVersion adapter, long term, EngineCommandResult result)
            implements Event {}

    /** A command to unload an adapter has completed. */
    record UnloadEnded(Instant at, EndpointId endpoint, AdapterVersion adapter, long term, EngineCommandResult result)
            implements Event {}

    /** A command to raise the fencing token has completed. */
    record FenceEnded(Instant at, EndpointId endpoint, long term, EngineCommandResult result) implements Event {}

    /** The status of an engine was read; the request for it was sent at {@code askedAt}. */
    record EngineStatusRead(Instant at, EndpointId endpoint, Instant askedAt, EngineStatus status) implements Event {}

    /** The status of an engine could not be read. */
    record EngineStatusFailed(Instant at, EndpointId endpoint) implements Event {}

    /** An operator submitted a change through this host. */
    record ChangeSubmitted(Instant at, ConfigurationChange change) implements Event {}

    /** An operator queried the verdict on a change. */
    record VerdictQueried(Instant at, long query, String changeId) implements Event {}

    /** An operator queried the status of all hosts. */
    record StatusQueried(Instant at, long query) implements Event {}

    /** An operator requested through this host that a host drain. */
    record DrainRequested(Instant at, HostId host) implements Event {}

    /** This host has started to drain before it stops. */
    record DrainStarted(Instant at) implements Event {}
}
