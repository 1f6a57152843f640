package org.banyanstair.transport;

/**
 * Totals of a transport since it was created.
 *
 * @param framesIn frames received
 * @param framesOut frames written
 * @param bytesIn bytes of the received frames, including their length fields
 * @param bytesOut bytes of the written frames, including their length fields
 * @param malformedFrames frames that were too long or could not be decoded
 * @param rejectedHandshakes connections closed because of a missing or unacceptable hello
 * @param connectionsOpened connections established in either direction
 * @param connectionsClosed established connections that were closed
 * @param droppedMessages messages that could not be sent, or came from an earlier incarnation of a peer
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
