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

/** Something that the shell has to do. */
public sealed interface Effect {
    /** Send a message to a host, possibly this one. */
    record SendToPeer(HostId peer, PeerMessage message) implements Effect {}

    /** Keep a connection with heartbeats to a host. */
    record WatchPeer(HostId peer) implements Effect {}

    /** End {@link WatchPeer}. */
    record UnwatchPeer(HostId peer) implements Effect {}

    /** Append entries to a stream in one operation. */
    record AppendToLog(long appendId, String stream, List<LogEntry> entries) implements Effect {}

    /** Read a stream from an offset on and keep reading; the earliest offset if that one has expired. */
    record FollowStream(String stream, long fromOffset) implements Effect {}

    /** Stop reading a stream. */
    record UnfollowStream(String stream) implements Effect {}

    /** Start an attempt of a generation on an engine. */
    record StartAttempt(RequestId request, int attempt, Endpoint endpoint, long loadStallMilliseconds)
            implements Effect {}

    /** Cancel the running attempt of a generation. */
    record CancelAttempt(RequestId request, int attempt) implements Effect {}

    /** The whole answer of a generation was delivered. */
    record CompleteGeneration(RequestId request) implements Effect {}

    /** Tell the caller of a generation that it failed. */
    record FailGeneration(RequestId request, Failure failure) implements Effect {}

    /** Send a call to a plain service, once. */
    record DispatchCall(long dispatchId, Endpoint endpoint, ServiceCall call) implements Effect {}

    /** Answer the caller of a plain call. */
    record AnswerCall(RequestId request, CallAnswer answer) implements Effect {}

    /** Order an engine to load an adapter. */
    record LoadAdapter(Endpoint endpoint, AdapterVersion adapter, long term) implements Effect {}

    /** Order an engine to unload an adapter. */
    record UnloadAdapter(Endpoint endpoint, AdapterVersion adapter, long term) implements Effect {}

    /** Raise the fence of an engine. */
    record RaiseFence(Endpoint endpoint, long term) implements Effect {}

    /** Read the status of an engine. */
    record ReadEngineStatus(Endpoint endpoint) implements Effect {}

    /** Answer an operator's change. */
    record AnswerChange(String changeId, ChangeVerdict verdict) implements Effect {}

    /** Answer an operator's question about a change. */
    record AnswerVerdict(long query, Optional<ChangeVerdict> verdict) implements Effect {}

    /** Answer an operator's question for the state of all hosts. */
    record AnswerStatus(long query, List<HostStatus> states, List<EndpointReport> endpoints) implements Effect {}

    /** Begin to drain this host, because an operator asked for it through another host. */
    record BeginDrain(Instant orderedAt) implements Effect {}

    /** Write a line to the log of the daemon. */
    record Report(Notice notice) implements Effect {}
}
