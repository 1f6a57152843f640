package org.banyanstair.external.http;

import java.io.IOException;
import java.util.Set;

import okhttp3.Response;
import org.banyanstair.codec.Mappers;

/**
 * HTTP status and error code of an engine's response.
 *
 * @param status HTTP status
 * @param code code of the error envelope, empty if there is none
 */
record EngineResponse(int status, String code) {
    private static final long MAXIMUM_BODY_BYTES = 1 << 20;

    /**
     * Error responses defined by the engine protocol. Each of them means that the command or the request had no effect.
     */
    private static final Set<EngineResponse> NO_EFFECT = Set.of(
            new EngineResponse(400, "invalid_field"),
            new EngineResponse(404, "adapter_not_loaded"),
            new EngineResponse(404, "stream_not_found"),
            new EngineResponse(408, "deadline_passed"),
            new EngineResponse(409, "fenced"),
            new EngineResponse(409, "no_free_slot"),
            new EngineResponse(424, "load_failed"));

    static EngineResponse read(Response response) throws IOException {
        byte[] body = EndpointHttpClient.readBody(response, MAXIMUM_BODY_BYTES);
        if (response.isSuccessful()) {
            return new EngineResponse(response.code(), "");
        }
        return new EngineResponse(response.code(), parseCode(body));
    }

    private static String parseCode(byte[] body) {
        try {
            return Mappers.JSON.readTree(body).path("error").path("code").asText();
        } catch (IOException exception) {
            // A response without an error envelope has no defined meaning.
            return "";
        }
    }

    boolean isSuccess() {
        return status == 200;
    }

    boolean hadNoEffect() {
        return NO_EFFECT.contains(this);
    }
}
