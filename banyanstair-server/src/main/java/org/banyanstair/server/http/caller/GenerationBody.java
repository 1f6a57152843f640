package org.banyanstair.server.http.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.codec.digest.MurmurHash3;
import org.banyanstair.codec.Mappers;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.ModelName;
import org.banyanstair.server.http.JsonBody;

/** Validated JSON body of a generation request. */
final class GenerationBody {
    /** A longer prefix would separate prompts that share the beginning that an engine has cached. */
    private static final int PREFIX_BYTES = 256;

    private final ObjectNode json;
    private final boolean chat;

    private GenerationBody(ObjectNode json, boolean chat) {
        this.json = json;
        this.chat = chat;
    }

    /**
     * Parses and validates a body.
     *
     * @throws org.banyanstair.errors.FailureException if it is malformed or a field has an invalid value
     */
    static GenerationBody parse(byte[] body, boolean chat) {
        ObjectNode object = JsonBody.parse(body);
        FieldRule.check(object, chat);
        return new GenerationBody(object, chat);
    }

    ModelName model() {
        return ModelName.parse(json.get("model").textValue());
    }

    boolean isChat() {
        return chat;
    }

    boolean isStreaming() {
        return json.path("stream").booleanValue();
    }

    boolean includesUsage() {
        return json.path("stream_options").path("include_usage").booleanValue();
    }

    /** Returns the body for the engine, which always streams and reports usage. */
    byte[] forEngine(AdapterVersion adapter) {
        ObjectNode engine = json.deepCopy();
        engine.put("model", adapter.engineName()).put("stream", true);
        JsonNode options = engine.path("stream_options");
        ObjectNode streamOptions = options.isObject() ? (ObjectNode) options : engine.putObject("stream_options");
        streamOptions.put("include_usage", true);
        try {
            return Mappers.JSON.writeValueAsBytes(engine);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Returns a hash of the beginning of the prompt, equal for requests that share a cached prefix. */
    long prefix() {
        StringBuilder text = new StringBuilder();
        if (chat) {
            for (JsonNode message : json.get("messages")) {
                text.append(message.get("role").textValue()).append('\n');
                appendText(text, message.path("content"));
                text.append('\n');
            }
        } else {
            appendText(text, json.get("prompt"));
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, Math.min(PREFIX_BYTES, bytes.length), 0)[0];
    }

    /** Returns a hash of each message of a conversation before the last one; none for a prompt without messages. */
    List<Long> sharedParts() {
        List<Long> parts = new ArrayList<>();
        if (chat) {
            for (JsonNode message : json.get("messages")) {
                byte[] bytes = message.toString().getBytes(StandardCharsets.UTF_8);
                parts.add(MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0]);
            }
            parts.remove(parts.size() - 1);
        }
        return parts;
    }

    private static void appendText(StringBuilder text, JsonNode content) {
        if (text.length() >= PREFIX_BYTES) {
            return;
        }
        if (content.isTextual()) {
            String value = content.textValue();
            text.append(value, 0, Math.min(PREFIX_BYTES, value.length()));
        } else if (content.isArray()) {
            content.forEach(part -> appendText(text, part.isObject() ? part.path("text") : part));
        } else if (content.isNumber()) {
            text.append(content.asText()).append(' ');
        }
    }
}
