package org.banyanstair.testsupport.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.Response;
import okio.BufferedSource;
import org.banyanstair.codec.Mappers;
import org.banyanstair.model.AdapterVersion;

/** Reads one response of the caller protocol. */
final class ResponseReader {
    static final String CONNECTION_LOST = "connection_lost";

    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
    private static final int OK = 200;

    private final Response response;
    private final Instant sentAt;
    private final InstantSource instants;
    private final List<Instant> tokenTimes = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();
    private String model = "";

    ResponseReader(Response response, Instant sentAt, InstantSource instants) {
        this.response = response;
        this.sentAt = sentAt;
        this.instants = instants;
    }

    /** Reads a plain service's response; only the header distinguishes a rejection from an error of the service. */
    CallerResult readService() {
        try {
            byte[] body = response.body().bytes();
            return isRejection()
                    ? rejection(new String(body, StandardCharsets.UTF_8))
                    : new CallerResult.ServiceAnswered(requestId(), response.code(), body);
        } catch (IOException exception) {
            return unknown(CONNECTION_LOST);
        }
    }

    CallerResult readChat() {
        try {
            if (isRejection() || response.code() != OK) {
                return rejection(response.body().string());
            }
            String type = response.header("Content-Type", "");
            return type.startsWith("text/event-stream")
                    ? readEvents(response.body().source())
                    : readJson(response.body().string());
        } catch (IOException exception) {
            return unknown(CONNECTION_LOST);
        }
    }

    private CallerResult readJson(String body) throws JsonProcessingException {
        JsonNode json = Mappers.JSON.readTree(body);
        String content = content(json, "/choices/0/message/content");
        int tokens = json.at("/usage/completion_tokens").asInt();
        return new CallerResult.Generated(
                requestId(), adapter(), json.path("model").asText(), content, tokens, sentAt, List.of());
    }

    private CallerResult readEvents(BufferedSource source) throws IOException {
        for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length()).strip();
            if (data.equals(DONE)) {
                return new CallerResult.Generated(
                        requestId(), adapter(), model, text.toString(), tokenTimes.size(), sentAt, tokenTimes);
            }
            JsonNode chunk = Mappers.JSON.readTree(data);
            if (chunk.has("error")) {
                return unknown(code(chunk));
            }
            append(chunk);
        }
        return unknown(CONNECTION_LOST);
    }

    private void append(JsonNode chunk) {
        model = chunk.path("model").asText(model);
        String token = content(chunk, "/choices/0/delta/content");
        if (!token.isEmpty()) {
            tokenTimes.add(instants.instant());
            text.append(token);
        }
    }

    /** Returns the text at the path of chat completions or, for text completions, the text of the choice. */
    private static String content(JsonNode json, String chatPath) {
        return json.at(chatPath).asText(json.at("/choices/0/text").asText(""));
    }

    private boolean isRejection() {
        return response.header("X-Outcome") != null;
    }

    private CallerResult rejection(String body) {
        String code = code(body);
        return "not-run".equals(response.header("X-Outcome"))
                ? new CallerResult.NotRun(requestId(), response.code(), code)
                : unknown(code);
    }

    private CallerResult unknown(String code) {
        return new CallerResult.Unknown(requestId(), response.code(), code, tokenTimes);
    }

    private static String code(String body) {
        try {
            return code(Mappers.JSON.readTree(body));
        } catch (JsonProcessingException exception) {
            return "malformed_error";
        }
    }

    private static String code(JsonNode envelope) {
        return envelope.at("/error/code").asText("malformed_error");
    }

    private Optional<String> requestId() {
        return Optional.ofNullable(response.header("X-Request-Id"));
    }

    private Optional<AdapterVersion> adapter() {
        return Optional.ofNullable(response.header("X-Adapter-Version")).map(AdapterVersion::parse);
    }
}
