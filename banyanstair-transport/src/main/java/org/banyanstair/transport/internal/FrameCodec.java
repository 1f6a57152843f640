package org.banyanstair.transport.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import org.banyanstair.codec.Mappers;
import org.banyanstair.peer.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages as frame bodies and decodes them. */
public final class FrameCodec {
    /** Length of the big-endian length field before each frame body. */
    public static final int LENGTH_BYTES = 4;

    /** Most messages are shorter than this; the default of 8 KiB costs more to allocate than a heartbeat to write. */
    private static final int PACKER_BUFFER_BYTES = 512;

    private static final MessagePack.PackerConfig PACKERS =
            new MessagePack.PackerConfig().withBufferSize(PACKER_BUFFER_BYTES);

    /** Initialized only for messages without a reader and a writer of their own, since this takes long. */
    private static final class Mapped {
        private static final ObjectWriter WRITER = Mappers.MESSAGE_PACK.writerFor(PeerMessage.class);
        private static final ObjectReader READER = Mappers.MESSAGE_PACK.readerFor(PeerMessage.class);
    }

    private FrameCodec() {}

    /**
     * Encodes a message.
     *
     * @return the frame body without its length field
     */
    public static byte[] encode(PeerMessage message) {
        try {
            return PeerMessageWriter.supports(message) ? pack(message) : Mapped.WRITER.writeValueAsBytes(message);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static byte[] pack(PeerMessage message) throws IOException {
        try (MessageBufferPacker packer = PACKERS.newBufferPacker()) {
            new PeerMessageWriter(packer).write(message);
            return packer.toByteArray();
        }
    }

    /**
     * Decodes a frame body.
     *
     * @param body the frame body without its length field
     * @return the message, empty if the body is malformed
     */
    public static Optional<PeerMessage> decode(byte[] body) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            Optional<PeerMessage> message = new PeerMessageReader(unpacker, body.length).read();
            if (message.isPresent()) {
                return unpacker.hasNext() ? Optional.empty() : message;
            }
            return isWellFormed(body) ? Optional.ofNullable(Mapped.READER.readValue(body)) : Optional.empty();
        } catch (IOException | RuntimeException exception) {
            return Optional.empty();
        }
    }

    /**
     * Returns whether all lengths in the body are consistent. This is checked first, because the Jackson parser
     * allocates the size that a length field claims before it reads the data.
     */
    private static boolean isWellFormed(byte[] body) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            unpacker.skipValue();
            return !unpacker.hasNext();
        }
    }
}
