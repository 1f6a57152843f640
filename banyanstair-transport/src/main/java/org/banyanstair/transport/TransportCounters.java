package org.banyanstair.transport;

/**
 * Totals of a transport since its creation.
 *
 * @param framesIn frames received
 * @param framesOut frames written
 * @param bytesIn bytes of the received frames with their length fields
 * @param bytesOut bytes of the written frames with their length fields
 * @param malformedFrames frames that were too long or could not be decoded
 * @param rejectedHandshakes connections closed for a missing or unacceptable hello
 * @param connectionsOpened connections established, in both directions
 * @param connectionsClosed established connections that ended
 * @param droppedMessages messages that could not be sent, or came from an older incarnation of a peer
 */
public record TransportCounters(
        long framesIn,
        long framesOut,
        long bytesIn,
        long bytesOut,
        long malformedFrames,
        long rejectedHandshakes,
        long connectionsOpened,
        long connectionsClosed,
        long droppedMessages) {}
