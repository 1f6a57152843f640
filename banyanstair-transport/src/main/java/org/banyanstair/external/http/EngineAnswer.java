package org.banyanstair.external.http;

import java.io.IOException;
import java.util.Set;

import okhttp3.Response;
import org.banyanstair.codec.Mappers;

/**
 * Status and error code of an answer of an engine.
 *
 * @param status HTTP status
 * @param code code of the error envelope, empty if there is none
 */
record EngineAnswer(int status, String code) {
    private static final long LIMIT_BYTES = 1 << 20;

    /** Codes that the protocol defines; each of them means that the command or the request had no effect. */
    private static final Set<EngineAnswer> WITHOUT_EFFECT = Set.of(
            new EngineAnswer(400, "invalid_field"),
            new EngineAnswer(404, "adapter_not_loaded"),
            new EngineAnswer(404, "stream_not_found"),
            new EngineAnswer(408, "deadline_passed"),
            new EngineAnswer(409, "fenced"),
            new EngineAnswer(409, "no_free_slot"),
            new EngineAnswer(424, "load_failed"));

    static EngineAnswer read(Response response) throws IOException {
        byte[] body = EndpointCalls.readBody(response, LIMIT_BYTES);
        if (response.isSuccessful()) {
            return new EngineAnswer(response.code(), "");
        }
        return new EngineAnswer(response.code(), codeOf(body));
    }

    private static String codeOf(byte[] body) {
        try {
            return Mappers.JSON.readTree(body).path("error").path("code").asText();
        } catch (IOException exception) {
            // An answer without an envelope has no defined meaning.
            return "";
        }
    }

    boolean isDone() {
        return status == 200;
    }

    boolean isWithoutEffect() {
        return WITHOUT_EFFECT.contains(this);
    }
}
