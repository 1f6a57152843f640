package org.banyanstair.server.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.banyanstair.codec.Mappers;
import org.banyanstair.configuration.CheckpointPart;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.LogRecord;
import org.banyanstair.external.LogStreams;
import org.banyanstair.idempotency.CallRecord;
import org.banyanstair.ownership.OwnershipRecord;
import org.banyanstair.placement.SuspectRecord;
import org.banyanstair.reducer.StreamEntry;

/** Encodes and decodes the entries of log streams. */
final class LogEntryCodec {
    private static final Map<String, Class<? extends LogEntry>> TYPES = Map.of(
            LogStreams.CONFIGURATION, ConfigurationChange.class,
            LogStreams.CHECKPOINTS, CheckpointPart.class,
            LogStreams.OWNERSHIP, OwnershipRecord.class,
            LogStreams.SUSPECTS, SuspectRecord.class);

    private LogEntryCodec() {}

    static byte[] encode(LogEntry entry) {
        try {
            return Mappers.MESSAGE_PACK.writeValueAsBytes(entry);
        } catch (JsonProcessingException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    static StreamEntry decode(String stream, LogRecord record) {
        return new StreamEntry(record.offset(), record.appendedAt(), decodePayload(stream, record.payload()));
    }

    private static Optional<LogEntry> decodePayload(String stream, byte[] payload) {
        Class<? extends LogEntry> type = LogStreams.isCallStream(stream) ? CallRecord.class : TYPES.get(stream);
        try {
            return Optional.ofNullable(Mappers.MESSAGE_PACK.readValue(payload, type));
        } catch (IOException exception) {
            return Optional.empty();
        }
    }
}
