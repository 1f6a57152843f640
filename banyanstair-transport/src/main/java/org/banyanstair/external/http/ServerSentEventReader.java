package org.banyanstair.external.http;

import java.io.EOFException;
import java.io.IOException;
import java.net.ProtocolException;

import okio.BufferedSource;
import okio.ByteString;

/** Reads server-sent events. The text of an event is copied only once, out of the connection's buffer. */
final class ServerSentEventReader {
    private static final long MAX_LINE_BYTES = 1 << 20;
    private static final long MAX_ID = 1 << 30;
    private static final ByteString DATA = ByteString.encodeUtf8("data:");
    private static final ByteString ID = ByteString.encodeUtf8("id:");

    private final BufferedSource source;
    private long id;
    private String data;

    ServerSentEventReader(BufferedSource source) {
        this.source = source;
    }

    /** Returns the id of the last event, or -1 if it had none. */
    long id() {
        return id;
    }

    /** Returns the data of the last event. */
    String data() {
        return data;
    }

    /**
     * Reads the next event that has data.
     *
     * @throws ProtocolException if the stream is malformed
     * @throws EOFException if the stream ended without an event
     */
    void next() throws IOException {
        id = -1;
        data = null;
        while (true) {
            long length = lineLength();
            boolean blank = length == 0 || length == 1 && source.getBuffer().getByte(0) == '\r';
            if (blank) {
                source.skip(length + 1);
                if (data != null) {
                    return;
                }
                id = -1;
            } else {
                readField(length);
            }
        }
    }

    private long lineLength() throws IOException {
        long length = source.indexOf((byte) '\n', 0, MAX_LINE_BYTES);
        if (length < 0) {
            throw source.request(MAX_LINE_BYTES)
                    ? new ProtocolException("event stream line is longer than 1 MiB")
                    : new EOFException("event stream ended in the middle of an event or before its end marker");
        }
        return length;
    }

    private void readField(long length) throws IOException {
        if (source.rangeEquals(0, DATA)) {
            String text = readValue(DATA.size(), length);
            data = data == null ? text : data + "\n" + text;
        } else if (source.rangeEquals(0, ID)) {
            id = parseId(readValue(ID.size(), length));
        } else {
            source.skip(length + 1);
        }
    }

    private String readValue(long nameLength, long length) throws IOException {
        long start = nameLength;
        long end = length;
        if (end > start && source.getBuffer().getByte(start) == ' ') {
            start++;
        }
        boolean carriageReturn = end > start && source.getBuffer().getByte(end - 1) == '\r';
        if (carriageReturn) {
            end--;
        }
        source.skip(start);
        String value = source.readUtf8(end - start);
        source.skip(length + 1 - end);
        return value;
    }

    private static long parseId(String text) throws ProtocolException {
        try {
            long parsed = Long.parseLong(text);
            if (parsed >= 0 && parsed < MAX_ID) {
                return parsed;
            }
        } catch (NumberFormatException exception) {
            // Reported below, like a number out of range.
        }
        throw new ProtocolException("event id is not a valid token index");
    }
}
