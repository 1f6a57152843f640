package org.banyanstair.integration.quickstart;

import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.banyanstair.model.CallerId;
import org.banyanstair.model.ModelName;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.HttpCaller;

/**
 * A request of the sample traffic, which may be sent several times.
 *
 * @param key value that identifies it in the records of the endpoints: idempotency key, order reference, path or digest
 *     of the prompt
 * @param priority priority class, which is part of the row label in the report
 * @param model requested model, empty for a plain service
 * @param prompt prompt as the engine receives it and token limit, empty if no generated text is checked
 * @param refusal error code with which it must be refused, empty for a request that must be answered
 * @param call sends the request once
 */
record SampleRequest(
        RequestKind kind,
        String key,
        CallerId caller,
        PriorityClass priority,
        Optional<ModelName> model,
        Optional<Prompt> prompt,
        Optional<String> refusal,
        Call call) {
    /**
     * The input from which the engine stand-in computes its answer.
     *
     * @param text prompt as the engine receives it
     */
    record Prompt(String text, int maximumTokens) {}

    /** Sends a request once. */
    @FunctionalInterface
    interface Call {
        /** Sends the request. */
        CompletableFuture<CallerResult> send(HttpCaller client, NetworkAddress host, Instant deadline);
    }

    /** Returns the label of the row of the report that counts the request. */
    String group() {
        return kind.isGeneration() ? kind.label() + ", " + priority.name().toLowerCase(Locale.ROOT) : kind.label();
    }
}
