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

    private static final String ID_PREFIX = "id:";

    private static final String DATA_FIELD = "data";

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
            return bytes.toString(StandardCharsets.UTF_8)
                    .lines()
                    .anyMatch(line -> line.equals(DATA_FIELD) || line.startsWith(DATA_FIELD + ":"));
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

    private static Optional<Long> parseId(ByteBuf event) {
        return event.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(ID_PREFIX))
                .map(line -> line.substring(ID_PREFIX.length()).trim())
                .filter(text -> text.matches("\\d{1,18}"))
                .map(Long::valueOf)
                .findFirst();
    }
}
