package org.banyanstair.server.http.caller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstair.codec.Mappers;

/**
 * Merges the chunks of a stream into a single response for a caller that did not request streaming.
 *
 * <p>Strings are concatenated, arrays whose elements have an {@code index} are merged by index, other arrays are
 * appended, and any other value is replaced by the latest one.
 */
final class ChunkAssembler {
    /** String fields that engines send unsplit, possibly more than once. */
    private static final Set<String> UNSPLIT_TEXT_FIELDS =
            Set.of("role", "id", "type", "name", "finish_reason", "stop_reason", "system_fingerprint", "service_tier");

    private final String id;
    private final String model;
    private final boolean chat;
    private final Map<String, Object> merged = new LinkedHashMap<>();

    ChunkAssembler(String id, String model, boolean chat) {
        this.id = id;
        this.model = model;
        this.chat = chat;
    }

    /**
     * Adds a chunk.
     *
     * @throws IOException if the chunk is not a JSON object
     */
    void add(String json) throws IOException {
        JsonNode chunk = Mappers.JSON.readTree(json);
        if (!chunk.isObject()) {
            throw new IOException("engine chunk is not a JSON object");
        }
        mergeObject(merged, chunk);
    }

    private static void mergeObject(Map<String, Object> target, JsonNode source) {
        source.properties()
                .forEach(field -> target.put(
                        field.getKey(), mergeValue(field.getKey(), target.get(field.getKey()), field.getValue())));
    }

    private static Object mergeValue(String field, Object current, JsonNode value) {
        if (value.isNull()) {
            return current;
        }
        if (value.isTextual() && !UNSPLIT_TEXT_FIELDS.contains(field)) {
            StringBuilder text = current instanceof StringBuilder earlier ? earlier : new StringBuilder();
            return text.append(value.textValue());
        }
        if (value.isObject()) {
            Map<String, Object> object = current instanceof LinkedHashMap ? cast(current) : new LinkedHashMap<>();
            mergeObject(object, value);
            return object;
        }
        return value.isArray() ? mergeArray(current, value) : value;
    }

    private static Object mergeArray(Object current, JsonNode value) {
        if (value.isEmpty()) {
            return current == null ? new ArrayList<>() : current;
        }
        if (value.get(0).has("index")) {
            TreeMap<Integer, Map<String, Object>> elements =
                    current instanceof TreeMap ? cast(current) : new TreeMap<>();
            value.forEach(element -> mergeObject(
                    elements.computeIfAbsent(element.path("index").intValue(), index -> new LinkedHashMap<>()),
                    element));
            return elements;
        }
        List<Object> list = current instanceof ArrayList ? cast(current) : new ArrayList<>();
        value.forEach(list::add);
        return list;
    }

    @SuppressWarnings("unchecked")
    private static <T> T cast(Object value) {
        return (T) value;
    }

    /** Returns the complete response as JSON. */
    byte[] toJson() throws IOException {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("id", id);
        answer.put("object", chat ? "chat.completion" : "text_completion");
        answer.put("created", merged.getOrDefault("created", 0));
        answer.put("model", model);
        answer.put("choices", choices());
        merged.forEach(answer::putIfAbsent);
        answer.replaceAll((field, value) -> toPlainValue(value));
        return Mappers.JSON.writeValueAsBytes(answer);
    }

    private List<Map<String, Object>> choices() {
        if (!(merged.get("choices") instanceof TreeMap)) {
            return List.of();
        }
        TreeMap<Integer, Map<String, Object>> byIndex = cast(merged.get("choices"));
        return byIndex.values().stream().map(this::choice).toList();
    }

    private Map<String, Object> choice(Map<String, Object> parts) {
        Map<String, Object> choice = new LinkedHashMap<>();
        choice.put("index", parts.get("index"));
        if (chat) {
            choice.put("message", message(parts));
        } else {
            choice.put("text", parts.getOrDefault("text", ""));
        }
        choice.put("logprobs", parts.get("logprobs"));
        choice.put("finish_reason", parts.get("finish_reason"));
        parts.forEach((field, value) -> {
            if (!field.equals("delta")) {
                choice.putIfAbsent(field, value);
            }
        });
        return choice;
    }

    private static Map<String, Object> message(Map<String, Object> parts) {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("role", "assistant");
        message.put("content", null);
        if (parts.get("delta") instanceof LinkedHashMap) {
            message.putAll(ChunkAssembler.<Map<String, Object>>cast(parts.get("delta")));
        }
        if (message.get("tool_calls") instanceof TreeMap) {
            TreeMap<Integer, Map<String, Object>> calls = cast(message.get("tool_calls"));
            // The index only identifies fragments within a stream; the complete response has no such field.
            calls.values().forEach(call -> call.remove("index"));
        }
        return message;
    }

    /** Replaces the maps that collect array elements by lists. */
    private static Object toPlainValue(Object value) {
        if (value instanceof TreeMap) {
            TreeMap<Integer, Object> elements = cast(value);
            return elements.values().stream().map(ChunkAssembler::toPlainValue).toList();
        }
        if (value instanceof List<?> list) {
            List<Object> result = new ArrayList<>(list.size());
            list.forEach(element -> result.add(toPlainValue(element)));
            return result;
        }
        if (value instanceof LinkedHashMap) {
            Map<String, Object> object = cast(value);
            object.replaceAll((field, element) -> toPlainValue(element));
        }
        return value;
    }
}
