package org.banyanstair.external.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.banyanstair.external.GenerationResult;
import org.banyanstair.external.TokenListener;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Records the token indexes of a generation and counts its ends. */
final class RecordingTokenListener implements TokenListener {
    private final List<Long> indexes = new ArrayList<>();
    private final CompletableFuture<GenerationResult> end = new CompletableFuture<>();
    private final AtomicInteger ends = new AtomicInteger();
    private final StringBuilder json = new StringBuilder();

    @Override
    public synchronized void token(long index, String chunk) {
        indexes.add(index);
        json.append(chunk);
    }

    @Override
    public void end(GenerationResult how) {
        ends.incrementAndGet();
        end.complete(how);
    }

    synchronized List<Long> indexes() {
        return List.copyOf(indexes);
    }

    synchronized String json() {
        return json.toString();
    }

    GenerationResult end() throws Exception {
        GenerationResult how = end.get(8, TimeUnit.SECONDS);
        assertEquals(1, ends.get(), "a generation has exactly one end");
        return how;
    }
}
