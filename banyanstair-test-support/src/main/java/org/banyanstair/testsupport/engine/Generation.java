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
    final ChunkWriter chunkWriter;
    final int firstToken;

    /** Tokens of the answer that exist, counted from the start of the answer. */
    int producedTokens;

    /** Index of the next event to send; the usage chunk follows the last token. */
    int nextEventIndex;

    /** Where the events go, null while nobody reads them. */
    Exchange exchange;

    /** Position in the order of arrival. */
    long arrival;

    /** When the connection broke, {@link Long#MAX_VALUE} while there is a reader. */
    long disconnectedAtNanos = Long.MAX_VALUE;

    long endedAtNanos;
    Instant started;
    Optional<Instant> ended = Optional.empty();
    RunOutcome outcome = RunOutcome.RUNNING;

    /** Position in the record of the engine. */
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

    /** Whether the events up to this index were produced by this run or were given to it as text. */
    boolean hasEvent(int index) {
        return index >= firstToken - 1 && (index < producedTokens || isComplete() && index == maxTokens);
    }

    /** Sends what the reader does not have yet. */
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

    /** Forgets the reader without touching its connection. */
    void detach() {
        if (exchange != null) {
            exchange.removeCloseListener();
            exchange = null;
        }
    }

    /** Closes the connection of the reader. */
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
