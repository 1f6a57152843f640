package org.banyanstair.external.http;

import java.io.IOException;
import java.util.Optional;

/** What is known after an HTTP call. */
sealed interface HttpCallResult {
    /**
     * The server sent a status.
     *
     * @param status HTTP status
     * @param body the whole body, empty if the connection broke before its end
     */
    record Answered(int status, Optional<byte[]> body) implements HttpCallResult {}

    /** No byte of the request was sent. */
    record NotSent(IOException cause) implements HttpCallResult {}

    /** The request was sent, at least in part, and no status came back. */
    record NoAnswer(IOException cause) implements HttpCallResult {}
}
