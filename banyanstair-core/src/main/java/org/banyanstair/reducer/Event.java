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

/** Something that happened, with the instant at which the shell saw it. */
public sealed interface Event {
    /**
     * Returns when the event occurred.
     *
     * @return the instant; events reach the reducer in this order
     */
    Instant at();

    /** Time has passed. */
    record Tick(Instant at) implements Event {}

    /** The host list was read. */
    record HostListRead(Instant at, HostListing listing) implements Event {}

    /** Records of a followed stream were read; {@code end} is the offset that the next append will get. */
    record StreamRead(Instant at, String stream, long next, long end, List<StreamEntry> entries) implements Event {}

    /** A followed stream no longer has the wanted offset; reading goes on from the earliest one. */
    record StreamExpired(Instant at, String stream, long earliest) implements Event {}

    /** A followed stream could not be read; the shell goes on trying. */
    record StreamUnavailable(Instant at, String stream) implements Event {}

    /** The log certainly did not take an append. */
    record AppendRejected(Instant at, long appendId, Failure failure) implements Event {}

    /** The log took an append, or may have; reading the stream shows it. */
    record AppendEnded(Instant at, long appendId) implements Event {}

    /** A peer can be reached. */
    record PeerConnected(Instant at, HostIdentity peer) implements Event {}

    /** A peer cannot be reached. */
    record PeerUnreachable(Instant at, HostId peer) implements Event {}

    /** A peer sent a message. */
    record PeerMessageReceived(Instant at, HostIdentity sender, PeerMessage message) implements Event {}

    /** A caller of this host asks for a generation. */
    record GenerationArrived(Instant at, GenerationRequest request) implements Event {}

    /** The caller of a generation has gone. */
    record GenerationCancelled(Instant at, RequestId request) implements Event {}

    /** An attempt at an engine has ended. */
    record AttemptEnded(Instant at, RequestId request, int attempt, AttemptOutcome outcome) implements Event {}

    /** A caller of this host calls a plain service. */
    record CallArrived(Instant at, CallRequest call) implements Event {}

    /** A dispatch to a plain service has ended. */
    record DispatchEnded(Instant at, long dispatchId, ServiceCallResult result) implements Event {}

    /** An order to load an adapter has ended. */
    record LoadEnded(Instant at, EndpointId endpoint, AdapterVersion adapter, long term, EngineCommandResult result)
            implements Event {}

    /** An order to unload an adapter has ended. */
    record UnloadEnded(Instant at, EndpointId endpoint, AdapterVersion adapter, long term, EngineCommandResult result)
            implements Event {}

    /** An order to raise the fence has ended. */
    record FenceEnded(Instant at, EndpointId endpoint, long term, EngineCommandResult result) implements Event {}

    /** The status of an engine was read; the request for it was sent at {@code askedAt}. */
    record EngineStatusRead(Instant at, EndpointId endpoint, Instant askedAt, EngineStatus status) implements Event {}

    /** The status of an engine could not be read. */
    record EngineStatusFailed(Instant at, EndpointId endpoint) implements Event {}

    /** An operator submits a change on this host. */
    record ChangeSubmitted(Instant at, ConfigurationChange change) implements Event {}

    /** An operator asks what became of a change. */
    record VerdictQueried(Instant at, long query, String changeId) implements Event {}

    /** An operator asks for the state of all hosts. */
    record StatusQueried(Instant at, long query) implements Event {}

    /** An operator asks a host to drain. */
    record DrainRequested(Instant at, HostId host) implements Event {}

    /** This host was told to drain and stop. */
    record DrainStarted(Instant at) implements Event {}
}
