package org.banyanstair.testsupport.engine;

import java.time.Instant;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstair.testsupport.endpoint.Exchange;

/** State of one generation. Not thread-safe; used only on the engine's scheduler thread. */
final class Generation {
    final String requestId;
    final String adapter;
    final String prompt;
    final boolean premium;
    final Instant deadline;
    final EngineText text;
    final int maxTokens;
    final ChunkWriter chunkWriter;
    final int firstToken;

    /** Number of tokens that exist, including those that the request passed in {@code continue_from}. */
    int producedTokens;

    /** Index of the next event to send; the usage chunk follows the last token event. */
    int nextEventIndex;

    /** Request that receives the events, null while no client is connected. */
    Exchange exchange;

    /** Sequence number by arrival at the queue. */
    long arrival;

    /** When the client disconnected, {@link Long#MAX_VALUE} while one is connected. */
    long disconnectedAtNanos = Long.MAX_VALUE;

    long endedAtNanos;
    Instant started;
    Optional<Instant> ended = Optional.empty();
    RunOutcome outcome = RunOutcome.RUNNING;

    /** Index in the {@link RunLog}. */
    int runLogIndex;

    Generation(String requestId, JsonNode body, boolean chat, boolean premium, Instant deadline) {
        this.requestId = requestId;
        this.adapter = body.path("model").asText();
        this.prompt = EngineText.prompt(body);
        this.premium = premium;
        this.deadline = deadline;
        this.maxTokens = body.path("max_tokens").asInt(EngineText.DEFAULT_MAX_TOKENS);
        if (maxTokens < 1 || maxTokens > EngineText.MAX_TOKENS_LIMIT) {
            throw new IllegalArgumentException("max_tokens must be 1 to " + EngineText.MAX_TOKENS_LIMIT);
        }
        this.text = new EngineText(adapter, prompt, maxTokens);
        this.firstToken = text.countTokens(body.path("continue_from").asText(""));
        if (firstToken < 0) {
            throw new IllegalArgumentException("continue_from must be the start of the answer, up to a whole token");
        }
        this.producedTokens = firstToken;
        this.nextEventIndex = firstToken;
        boolean usage = body.path("stream_options").path("include_usage").asBoolean();
        this.chunkWriter = new ChunkWriter(requestId, adapter, chat, usage, maxTokens, prompt.split("\\s+").length);
    }

    boolean isComplete() {
        return producedTokens >= maxTokens;
    }

    /** Returns whether the events up to this index were produced here or passed in {@code continue_from}. */
    boolean hasEvent(int index) {
        return index >= firstToken - 1 && (index < producedTokens || isComplete() && index == maxTokens);
    }

    /** Sends the events that the client has not been sent yet. */
    void deliver() {
        if (exchange == null || producedTokens == nextEventIndex && !isComplete()) {
            return;
        }
        if (!exchange.isEventStreamStarted() && !exchange.startEventStream()) {
            return;
        }
        StringBuilder events = new StringBuilder();
        while (nextEventIndex < producedTokens) {
            chunkWriter.appendToken(events, nextEventIndex, text.token(nextEventIndex));
            nextEventIndex++;
        }
        if (isComplete()) {
            chunkWriter.appendEnd(events, nextEventIndex == maxTokens);
        }
        exchange.writeEvents(events.toString());
        if (isComplete()) {
            exchange.endEventStream();
            detach();
        }
    }

    /** Detaches the client's request without closing its connection. */
    void detach() {
        if (exchange != null) {
            exchange.removeCloseListener();
            exchange = null;
        }
    }

    /** Detaches the client's request and closes its connection. */
    void closeConnection() {
        if (exchange != null) {
            Exchange last = exchange;
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
                producedTokens - firstToken,
                started,
                ended,
                outcome);
    }
}
