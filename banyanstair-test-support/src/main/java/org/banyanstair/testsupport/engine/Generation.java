package org.banyanstair.testsupport.engine;

import java.time.Instant;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstair.testsupport.endpoint.Exchange;

/** One generation: its request, how far it got and who reads it. Used by the scheduler thread alone. */
final class Generation {
    final String requestId;
    final String adapter;
    final String prompt;
    final boolean premium;
    final Instant deadline;
    final EngineText text;
    final int maxTokens;
    final ChunkWriter chunks;
    final int firstToken;

    /** Tokens of the answer that exist, counted from the start of the answer. */
    int produced;

    /** Index of the next event to send; the usage chunk follows the last token. */
    int nextEvent;

    /** Where the events go, null while nobody reads them. */
    Exchange reader;

    /** Position in the order of arrival. */
    long arrival;

    /** When the connection broke, {@link Long#MAX_VALUE} while there is a reader. */
    long brokenAtNanos = Long.MAX_VALUE;

    long endedAtNanos;
    Instant started;
    Optional<Instant> ended = Optional.empty();
    RunOutcome outcome = RunOutcome.RUNNING;

    /** Position in the record of the engine. */
    int recordPosition;

    Generation(String requestId, JsonNode body, boolean chat, boolean premium, Instant deadline) {
        this.requestId = requestId;
        this.adapter = body.path("model").asText();
        this.prompt = EngineText.prompt(body);
        this.premium = premium;
        this.deadline = deadline;
        this.maxTokens = body.path("max_tokens").asInt(EngineText.DEFAULT_MAX_TOKENS);
        if (maxTokens < 1 || maxTokens > EngineText.LARGEST_MAX_TOKENS) {
            throw new IllegalArgumentException("max_tokens must be 1 to " + EngineText.LARGEST_MAX_TOKENS);
        }
        this.text = new EngineText(adapter, prompt, maxTokens);
        this.firstToken = text.covered(body.path("continue_from").asText(""));
        if (firstToken < 0) {
            throw new IllegalArgumentException("continue_from must be the start of the answer, up to a whole token");
        }
        this.produced = firstToken;
        this.nextEvent = firstToken;
        boolean usage = body.path("stream_options").path("include_usage").asBoolean();
        this.chunks = new ChunkWriter(requestId, adapter, chat, usage, maxTokens, prompt.split("\\s+").length);
    }

    boolean isComplete() {
        return produced >= maxTokens;
    }

    /** Whether the events up to this index were produced by this run or were given to it as text. */
    boolean hasEvent(int index) {
        return index >= firstToken - 1 && (index < produced || isComplete() && index == maxTokens);
    }

    /** Sends what the reader does not have yet. */
    void deliver() {
        if (reader == null || produced == nextEvent && !isComplete()) {
            return;
        }
        if (!reader.isEventStreamStarted() && !reader.startEventStream()) {
            return;
        }
        StringBuilder events = new StringBuilder();
        while (nextEvent < produced) {
            chunks.token(events, nextEvent, text.token(nextEvent));
            nextEvent++;
        }
        if (isComplete()) {
            chunks.end(events, nextEvent == maxTokens);
        }
        reader.writeEvents(events.toString());
        if (isComplete()) {
            reader.endEventStream();
            detach();
        }
    }

    /** Forgets the reader without touching its connection. */
    void detach() {
        if (reader != null) {
            reader.removeCloseListener();
            reader = null;
        }
    }

    /** Closes the connection of the reader. */
    void breakReader() {
        if (reader != null) {
            Exchange last = reader;
            detach();
            last.closeConnection();
        }
    }

    EngineRun toRun() {
        return new EngineRun(
                requestId,
                adapter,
                EngineText.digest(prompt),
                firstToken,
                produced - firstToken,
                started,
                ended,
                outcome);
    }
}
