package org.banyanstair.external;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log service.
 *
 * <p>Implementations are thread-safe. Futures complete normally for every foreseen failure.
 */
public interface LogService {
    /**
     * Appends records to a stream in one operation; they get consecutive offsets.
     *
     * @param records payloads, at least one
     */
    CompletableFuture<AppendResult> append(String stream, List<byte[]> records);

    /**
     * Reads records from an offset on; waits for one if there is none yet.
     *
     * @param fromOffset first offset wanted, 0 or more
     * @param limit most records to return
     * @param waitUntil instant at which an empty answer is given if no record has come
     */
    CompletableFuture<ReadResult> read(String stream, long fromOffset, int limit, Instant waitUntil);
}
