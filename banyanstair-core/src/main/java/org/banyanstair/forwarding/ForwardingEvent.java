package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;

/** An event, with the instant on the host's steady clock at which it was noticed. */
public sealed interface ForwardingEvent {
    /** A periodic tick. */
    record Tick() implements ForwardingEvent {}

    /** The process was suspended or a clock jumped, so earlier time measurements are invalid. */
    record ClockGap() implements ForwardingEvent {}

    /**
     * A caller's request has been received completely.
     *
     * @param arrivedAt earliest instant at which it may have arrived; empty if it was read at once
     */
    record RequestArrived(ForwardRequest request, Optional<Instant> arrivedAt) implements ForwardingEvent {
        /** Creates the event of a request that was read at once. */
        public RequestArrived(ForwardRequest request) {
            this(request, Optional.empty());
        }
    }

    /** The first output of an attempt arrived. */
    record FirstOutput(long exchange, int attempt) implements ForwardingEvent {}

    /** An attempt ended. */
    record AttemptEnded(long exchange, int attempt, AttemptResult result) implements ForwardingEvent {}

    /**
     * An endpoint said something about itself in a response.
     *
     * @param sentAt when the request was sent that it responded to
     */
    record EndpointNoticeReceived(EndpointId endpoint, Instant sentAt, EndpointNotice notice)
            implements ForwardingEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected(long exchange) implements ForwardingEvent {}

    /** An endpoint refused a connection that was opened to check it, so no process listens there. */
    record ConnectionRefused(EndpointId endpoint, long started) implements ForwardingEvent {}

    /** A command to a runner was answered, or timed out. */
    record CommandAnswered(AdapterCommand command, CommandResult result) implements ForwardingEvent {}

    /**
     * A query of a runner's state ended.
     *
     * @param state the state; empty if the runner did not answer
     */
    record Inspected(EndpointId endpoint, Optional<RunnerState> state) implements ForwardingEvent {}

    /**
     * A read of a topic ended: a snapshot, or the records from an offset on.
     *
     * @param startedAt when the read was sent
     * @param snapshot whether the records are a snapshot, so that keys missing from it have been removed
     * @param records records in the order of their offsets
     * @param end position after the last record of the topic, in the era of the response
     */
    record TopicRead(Topic topic, Instant startedAt, boolean snapshot, List<TopicRecord> records, LogPosition end)
            implements ForwardingEvent {}

    /** A response of the log named an era other than the last one. */
    record LogEraObserved(long era) implements ForwardingEvent {}

    /** The records from the requested offset on have been dropped; only the newest of each key remain. */
    record TopicExpired(Topic topic) implements ForwardingEvent {}

    /** A read of a topic failed. */
    record TopicUnavailable(Topic topic) implements ForwardingEvent {}

    /** A call to the log got no response in time. */
    record LogCallTimedOut() implements ForwardingEvent {}

    /** An append to a topic ended; a read of the topic shows whether it succeeded. */
    record AppendCompleted(Topic topic) implements ForwardingEvent {}

    /** A connection to a peer was established. */
    record PeerConnected(HostIdentity peer) implements ForwardingEvent {}

    /** A peer is unreachable. */
    record PeerUnreachable(HostId peer) implements ForwardingEvent {}

    /** A message of a peer arrived. */
    record PeerMessageReceived(HostIdentity sender, PeerMessage message) implements ForwardingEvent {}

    /** The process was asked to shut down. */
    record StopRequested(StopSchedule schedule) implements ForwardingEvent {}

    /** The time for the requests in flight at a shutdown is over. */
    record StopDeadlineReached() implements ForwardingEvent {}
}
