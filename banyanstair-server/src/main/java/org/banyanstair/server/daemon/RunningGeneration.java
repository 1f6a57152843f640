package org.banyanstair.server.daemon;

import java.util.ArrayList;
import java.util.List;

import org.banyanstair.external.Cancellation;
import org.banyanstair.server.service.Generation;
import org.banyanstair.server.service.GenerationSink;

/** State of a generation in progress. Thread-safe; guarded by its own lock. */
final class RunningGeneration {
    private final Generation generation;
    private final GenerationSink sink;
    private final List<String> deliveredChunks = new ArrayList<>();
    private int attempt;
    private boolean ended;
    private Cancellation cancellation = () -> {};

    RunningGeneration(Generation generation, GenerationSink sink) {
        this.generation = generation;
        this.sink = sink;
    }

    Generation generation() {
        return generation;
    }

    /** Makes an attempt the current one; callbacks of earlier attempts are ignored from then on. */
    synchronized void startAttempt(int number) {
        attempt = number;
        cancellation = () -> {};
    }

    synchronized boolean isCurrent(int number) {
        return !ended && attempt == number;
    }

    synchronized void setCancellation(int number, Cancellation value) {
        if (isCurrent(number)) {
            cancellation = value;
        } else {
            value.cancel();
        }
    }

    /** Delivers a chunk if it belongs to the current attempt and has the next index. Returns whether it did. */
    synchronized boolean deliver(int number, long index, String json) {
        if (!isCurrent(number) || index != deliveredChunks.size()) {
            return false;
        }
        deliveredChunks.add(json);
        sink.token(index, json);
        return true;
    }

    synchronized long nextToken() {
        return deliveredChunks.size();
    }

    synchronized List<String> deliveredChunks() {
        return List.copyOf(deliveredChunks);
    }

    synchronized Cancellation end() {
        ended = true;
        return cancellation;
    }

    synchronized void cancelAttempt(int number) {
        if (attempt == number) {
            cancellation.cancel();
        }
    }

    GenerationSink sink() {
        return sink;
    }
}
