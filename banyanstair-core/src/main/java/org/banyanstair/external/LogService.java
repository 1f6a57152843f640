package org.banyanstair.external;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The external append-only log service.
 *
 * <p>Implementations are thread-safe. Futures complete normally for every expected failure.
 */
public interface LogService {
    /**
     * Appends records to a stream in one operation, at consecutive offsets.
     *
     * @param records payloads, at least one
     */
    CompletableFuture<AppendResult> append(String stream, List<byte[]> records);

    /**
     * Reads records starting at an offset; waits for one if there is none yet.
     *
     * @param fromOffset offset of the first record to read, at least 0
     * @param limit maximum number of records
     * @param waitUntil when to return no records if none has been appended
     */
    CompletableFuture<ReadResult> read(String stream, long fromOffset, int limit, Instant waitUntil);
}
