package org.banyanstair.testsupport.engine;

import java.time.Instant;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;

/** Writes the server-sent events of one generation as OpenAI completion chunks. */
final class ChunkWriter {
    private final String requestId;
    private final String adapter;
    private final boolean chat;
    private final boolean usage;
    private final int maxTokens;
    private final int promptTokens;
    private final long created = Instant.now().getEpochSecond();

    ChunkWriter(String requestId, String adapter, boolean chat, boolean usage, int maxTokens, int promptTokens) {
        this.requestId = requestId;
        this.adapter = adapter;
        this.chat = chat;
        this.usage = usage;
        this.maxTokens = maxTokens;
        this.promptTokens = promptTokens;
    }

    void appendToken(StringBuilder events, int index, String text) {
        ObjectNode chunk = chunk();
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        if (chat) {
            ObjectNode delta = choice.putObject("delta");
            if (index == 0) {
                delta.put("role", "assistant");
            }
            delta.put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", index == maxTokens - 1 ? "length" : null);
        appendEvent(events, index, chunk);
    }

    /**
     * Appends the usage chunk, if the request asked for it, and the {@code [DONE]} event.
     *
     * @param withUsage false if the client has received the usage chunk before it resumed the stream
     */
    void appendEnd(StringBuilder events, boolean withUsage) {
        if (usage && withUsage) {
            ObjectNode chunk = chunk();
            chunk.putArray("choices");
            chunk.set(
                    "usage",
                    Mappers.JSON.valueToTree(Map.of(
                            "prompt_tokens",
                            promptTokens,
                            "completion_tokens",
                            maxTokens,
                            "total_tokens",
                            promptTokens + maxTokens)));
            appendEvent(events, maxTokens, chunk);
        }
        events.append("data: [DONE]\n\n");
    }

    private ObjectNode chunk() {
        return Mappers.JSON
                .createObjectNode()
                .put("id", requestId)
                .put("object", chat ? "chat.completion.chunk" : "text_completion")
                .put("created", created)
                .put("model", adapter);
    }

    private static void appendEvent(StringBuilder events, int index, ObjectNode chunk) {
        for (String part : List.of("id: ", Integer.toString(index), "\ndata: ", chunk.toString(), "\n\n")) {
            events.append(part);
        }
    }
}
