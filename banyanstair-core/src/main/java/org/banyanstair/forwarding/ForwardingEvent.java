package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;

/** Something that happened, with the instant on the host's steady clock at which it was noticed. */
public sealed interface ForwardingEvent {
    /** Time passed. */
    record Tick() implements ForwardingEvent {}

    /** The process stood still or a clock jumped, so nothing that was measured before can be relied upon. */
    record ClockGap() implements ForwardingEvent {}

    /** A caller's request has been read whole. */
    record RequestArrived(ForwardRequest request) implements ForwardingEvent {}

    /** The first part of the answer of the current attempt came. */
    record FirstOutput(long exchange, int attempt) implements ForwardingEvent {}

    /** An attempt ended. */
    record AttemptEnded(long exchange, int attempt, AttemptResult result) implements ForwardingEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected(long exchange) implements ForwardingEvent {}

    /** A runner answered a command. */
    record CommandAnswered(AdapterCommand command, CommandResult result) implements ForwardingEvent {}

    /** A runner answered or did not answer a question for its state. */
    record Inspected(EndpointId endpoint, Optional<RunnerState> state) implements ForwardingEvent {}

    /**
     * The newest record of each key was read, or the records from an offset on.
     *
     * @param topic the topic
     * @param startedAt when the read was sent
     * @param snapshot whether keys that are missing have been removed
     * @param records the records in the order of their offsets
     * @param end offset after the last record of the topic
     */
    record TopicRead(Topic topic, Instant startedAt, boolean snapshot, List<TopicRecord> records, long end)
            implements ForwardingEvent {}

    /** The records from the wanted offset on have been dropped; the newest of each key remain. */
    record TopicExpired(Topic topic) implements ForwardingEvent {}

    /** A read failed. */
    record TopicUnavailable(Topic topic) implements ForwardingEvent {}

    /** An append to a topic ended; whether it was carried out shows in the topic. */
    record AppendCompleted(Topic topic) implements ForwardingEvent {}

    /** A peer can be reached. */
    record PeerConnected(HostIdentity peer) implements ForwardingEvent {}

    /** A peer cannot be reached. */
    record PeerUnreachable(HostId peer) implements ForwardingEvent {}

    /** A peer sent a message. */
    record PeerMessageReceived(HostIdentity sender, PeerMessage message) implements ForwardingEvent {}

    /** The process has been told to stop. */
    record StopRequested() implements ForwardingEvent {}
}
