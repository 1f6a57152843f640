package org.banyanstair.external.http;

import java.io.IOException;
import java.util.Optional;

/** Result of an HTTP call. */
sealed interface HttpCallResult {
    /**
     * The server returned a response status.
     *
     * @param body the whole body, empty if the connection broke before its end
     */
    record Answered(int status, Optional<byte[]> body) implements HttpCallResult {}

    /** The call failed before any byte of the request was sent. */
    record NotSent(IOException cause) implements HttpCallResult {}

    /** The request was sent at least in part, but no response status arrived. */
    record NoResponse(IOException cause) implements HttpCallResult {}
}
