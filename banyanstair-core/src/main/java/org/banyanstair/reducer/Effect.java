package org.banyanstair.reducer;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.configuration.ChangeVerdict;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.idempotency.CallAnswer;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.HostId;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.EndpointReport;
import org.banyanstair.peer.HostStatus;
import org.banyanstair.peer.PeerMessage;

/** An action that the reducer requests from the daemon. */
public sealed interface Effect {
    /** Sends a message to a host, possibly this one. */
    record SendToPeer(HostId peer, PeerMessage message) implements Effect {}

    /** Maintains a connection with heartbeats to a host. */
    record WatchPeer(HostId peer) implements Effect {}

    /** Stops {@link WatchPeer}. */
    record UnwatchPeer(HostId peer) implements Effect {}

    /** Appends entries to a stream in one operation. */
    record AppendToLog(long appendId, String stream, List<LogEntry> entries) implements Effect {}

    /** Reads a stream continuously, starting at an offset, or at the earliest one if that offset has expired. */
    record FollowStream(String stream, long fromOffset) implements Effect {}

    /** Stops reading a stream. */
    record UnfollowStream(String stream) implements Effect {}

    /** Starts an attempt of a generation on an engine. */
    record StartAttempt(RequestId request, int attempt, Endpoint endpoint, long loadStallMilliseconds)
            implements Effect {}

    /** Cancels the running attempt of a generation. */
    record CancelAttempt(RequestId request, int attempt) implements Effect {}

    /** Completes a generation whose whole answer was delivered. */
    record CompleteGeneration(RequestId request) implements Effect {}

    /** Answers the caller of a generation with a failure. */
    record FailGeneration(RequestId request, Failure failure) implements Effect {}

    /** Sends a call to a plain service, without retries. */
    record DispatchCall(long dispatchId, Endpoint endpoint, ServiceCall call) implements Effect {}

    /** Answers the caller of a plain service call. */
    record AnswerCall(RequestId request, CallAnswer answer) implements Effect {}

    /** Commands an engine to load an adapter. */
    record LoadAdapter(Endpoint endpoint, AdapterVersion adapter, long term) implements Effect {}

    /** Commands an engine to unload an adapter. */
    record UnloadAdapter(Endpoint endpoint, AdapterVersion adapter, long term) implements Effect {}

    /** Raises the fencing token of an engine. */
    record RaiseFence(Endpoint endpoint, long term) implements Effect {}

    /** Reads the status of an engine. */
    record ReadEngineStatus(Endpoint endpoint) implements Effect {}

    /** Answers an operator's change with its verdict. */
    record AnswerChange(String changeId, ChangeVerdict verdict) implements Effect {}

    /** Answers an operator's query for the verdict on a change, empty if it is not known. */
    record AnswerVerdict(long query, Optional<ChangeVerdict> verdict) implements Effect {}

    /** Answers an operator's query for the status of all hosts. */
    record AnswerStatus(long query, List<HostStatus> states, List<EndpointReport> endpoints) implements Effect {}

    /** Starts to drain this host, as requested by an operator through another host. */
    record BeginDrain(Instant orderedAt) implements Effect {}

    /** Writes a line to the log file of the daemon. */
    record Report(Notice notice) implements Effect {}
}
