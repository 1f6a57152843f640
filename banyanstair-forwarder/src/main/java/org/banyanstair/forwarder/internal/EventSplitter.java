package org.banyanstair.forwarder.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits the bytes of an event stream (server-sent events) into complete events, so that a stream that is resumed at
 * another endpoint contains no partial event.
 *
 * <p>Not thread-safe.
 */
public final class EventSplitter {
    private static final byte LINE_FEED = '\n';

    private static final byte CARRIAGE_RETURN = '\r';

    private static final byte COLON = ':';

    private static final byte[] ID_PREFIX = "id:".getBytes(StandardCharsets.US_ASCII);

    private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

    /** More digits may not fit into a long. */
    private static final int MAXIMUM_ID_DIGITS = 18;

    private final ByteBuf pending;
    private int scanIndex;
    private int lineStart;

    /** Creates a splitter without pending bytes. */
    public EventSplitter() {
        this(Unpooled.buffer());
    }

    EventSplitter(ByteBuf pending) {
        this.pending = pending;
    }

    /**
     * A complete event.
     *
     * @param bytes its bytes with the terminating empty line; released by the receiver
     * @param id its id; empty if it has no numeric id
     */
    public record StreamEvent(ByteBuf bytes, Optional<Long> id) {
        /**
         * Returns whether the event has a data field. Without one it is a comment or a setting and no part of the
         * content.
         */
        public boolean hasData() {
            int start = bytes.readerIndex();
            while (start < bytes.writerIndex()) {
                int end = lineEnd(bytes, start);
                if (startsWith(bytes, start, end, DATA_FIELD)) {
                    int fieldEnd = start + DATA_FIELD.length;
                    if (fieldEnd == end || bytes.getByte(fieldEnd) == COLON) {
                        return true;
                    }
                }
                start = end + 1;
            }
            return false;
        }
    }

    /**
     * Adds received bytes.
     *
     * @param bytes not released
     * @return the events that are now complete
     */
    public List<StreamEvent> feed(ByteBuf bytes) {
        pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        List<StreamEvent> events = new ArrayList<>();
        int length = nextEventLength();
        while (length > 0) {
            ByteBuf event = pending.readBytes(length);
            events.add(new StreamEvent(event, parseId(event)));
            length = nextEventLength();
        }
        int consumed = pending.readerIndex();
        pending.discardReadBytes();
        scanIndex -= consumed;
        lineStart -= consumed;
        return events;
    }

    /** Returns whether the pending bytes contain a partial event; empty lines alone are not part of an event. */
    public boolean hasPartialEvent() {
        return pending.forEachByte(value -> value == LINE_FEED || value == CARRIAGE_RETURN) >= 0;
    }

    /** Returns the number of pending bytes. */
    public int pendingBytes() {
        return pending.readableBytes();
    }

    /**
     * Removes and returns the bytes after the last complete event.
     *
     * @return the bytes; released by the receiver
     */
    public ByteBuf takeRemainder() {
        ByteBuf remainder = pending.readBytes(pending.readableBytes());
        discardPartialEvent();
        return remainder;
    }

    /** Drops the bytes of a partial event. */
    public void discardPartialEvent() {
        pending.clear();
        scanIndex = 0;
        lineStart = 0;
    }

    /** Returns the length of the first event with its empty line, 0 if it is incomplete. Scans each byte only once. */
    private int nextEventLength() {
        int end = pending.writerIndex();
        for (int index = scanIndex; index < end; index++) {
            if (pending.getByte(index) == LINE_FEED) {
                boolean empty =
                        index == lineStart || index == lineStart + 1 && pending.getByte(lineStart) == CARRIAGE_RETURN;
                lineStart = index + 1;
                if (empty && index > pending.readerIndex() + 1) {
                    scanIndex = index + 1;
                    return scanIndex - pending.readerIndex();
                }
            }
        }
        scanIndex = end;
        return 0;
    }

    /** Returns the first numeric id. Works on the bytes, since it is called for each event of each stream. */
    private static Optional<Long> parseId(ByteBuf event) {
        int start = event.readerIndex();
        while (start < event.writerIndex()) {
            int end = lineEnd(event, start);
            if (startsWith(event, start, end, ID_PREFIX)) {
                Optional<Long> id = parseNumber(event, start + ID_PREFIX.length, end);
                if (id.isPresent()) {
                    return id;
                }
            }
            start = end + 1;
        }
        return Optional.empty();
    }

    /** Returns the index of the line's terminator, or of the end of the bytes. */
    private static int lineEnd(ByteBuf bytes, int start) {
        int index = start;
        while (index < bytes.writerIndex()
                && bytes.getByte(index) != LINE_FEED
                && bytes.getByte(index) != CARRIAGE_RETURN) {
            index++;
        }
        return index;
    }

    private static boolean startsWith(ByteBuf bytes, int start, int end, byte[] prefix) {
        if (end - start < prefix.length) {
            return false;
        }
        for (int index = 0; index < prefix.length; index++) {
            if (bytes.getByte(start + index) != prefix[index]) {
                return false;
            }
        }
        return true;
    }

    private static Optional<Long> parseNumber(ByteBuf bytes, int from, int to) {
        int start = from;
        int end = to;
        while (start < end && isBlank(bytes.getByte(start))) {
            start++;
        }
        while (start < end && isBlank(bytes.getByte(end - 1))) {
            end--;
        }
        if (start == end || end - start > MAXIMUM_ID_DIGITS) {
            return Optional.empty();
        }
        long number = 0;
        for (int index = start; index < end; index++) {
            int digit = bytes.getByte(index) - '0';
            if (digit < 0 || digit > 9) {
                return Optional.empty();
            }
            number = number * 10 + digit;
        }
        return Optional.of(number);
    }

    private static boolean isBlank(byte value) {
        return value >= 0 && value <= ' ';
    }
}
