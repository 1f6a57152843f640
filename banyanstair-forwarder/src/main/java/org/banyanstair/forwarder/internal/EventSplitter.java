package org.banyanstair.forwarder.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts the bytes of an event stream into whole events, so that a stream that goes on elsewhere has no half event.
 *
 * <p>Not safe for use by several threads.
 */
public final class EventSplitter {
    private static final byte LINE_FEED = '\n';

    private static final byte CARRIAGE_RETURN = '\r';

    private static final String ID_PREFIX = "id:";

    private static final String DATA_FIELD = "data";

    private final ByteBuf pending;
    private int scanIndex;
    private int lineStart;

    /** Creates a splitter. */
    public EventSplitter() {
        this(Unpooled.buffer());
    }

    EventSplitter(ByteBuf pending) {
        this.pending = pending;
    }

    /**
     * A whole event.
     *
     * @param bytes its bytes with the empty line at its end; the receiver releases them
     * @param id its id; empty if it has none that is a number
     */
    public record StreamEvent(ByteBuf bytes, Optional<Long> id) {
        /**
         * Tells whether the event has data; without, it is a comment or a setting and no part of the content.
         *
         * @return whether a line is a data field
         */
        public boolean hasData() {
            return bytes.toString(StandardCharsets.UTF_8)
                    .lines()
                    .anyMatch(line -> line.equals(DATA_FIELD) || line.startsWith(DATA_FIELD + ":"));
        }
    }

    /**
     * Takes bytes.
     *
     * @param bytes the bytes; not released
     * @return the events that are now whole
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

    /**
     * Tells whether the bytes end within an event; empty lines alone are no part of one.
     *
     * @return whether an event is not whole
     */
    public boolean hasPartialEvent() {
        return pending.forEachByte(value -> value == LINE_FEED || value == CARRIAGE_RETURN) >= 0;
    }

    /**
     * Returns how many bytes of an event that is not whole are kept.
     *
     * @return bytes
     */
    public int pendingBytes() {
        return pending.readableBytes();
    }

    /**
     * Returns the bytes after the last whole event.
     *
     * @return the bytes; the receiver releases them
     */
    public ByteBuf takeRemainder() {
        ByteBuf remainder = pending.readBytes(pending.readableBytes());
        discardPartialEvent();
        return remainder;
    }

    /** Forgets the bytes of an event that is not whole. */
    public void discardPartialEvent() {
        pending.clear();
        scanIndex = 0;
        lineStart = 0;
    }

    /** Returns the length of the first event with its empty line, 0 if it is not whole; scans each byte once. */
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
