package org.banyanstair.testsupport.log;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.banyanstair.testsupport.fault.Reply;

/** A long-polling read that waits for its first record. */
final class PendingRead {
    private final long from;
    private final Supplier<Reply> reader;
    private final CompletableFuture<Reply> reply = new CompletableFuture<>();

    PendingRead(long from, Supplier<Reply> reader) {
        this.from = from;
        this.reader = reader;
    }

    long fromOffset() {
        return from;
    }

    CompletableFuture<Reply> reply() {
        return reply;
    }

    /** Completes the reply with the records that the stream has now. */
    void complete() {
        reply.complete(reader.get());
    }
}
