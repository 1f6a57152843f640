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
 * One request of the sample traffic, which may be sent several times.
 *
 * @param key idempotency key or body mark, by which the endpoints' records show it
 * @param priority its priority class, which is also part of its group in the report
 * @param model model that it names, empty for a plain service
 * @param prompt prompt as engines see it and token limit, empty for a plain service
 * @param refusal code with which it must be refused, empty for a request that must be answered
 * @param call sends it
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
     * What an engine derives its answer from.
     *
     * @param text prompt in the form of the engine
     */
    record Prompt(String text, int maximumTokens) {}

    /** Sends a request once. */
    @FunctionalInterface
    interface Call {
        /** Sends the request. */
        CompletableFuture<CallerResult> send(HttpCaller client, NetworkAddress host, Instant deadline);
    }

    /** Returns the row of the report in which the request is counted. */
    String group() {
        return kind.isGeneration() ? kind.label() + ", " + priority.name().toLowerCase(Locale.ROOT) : kind.label();
    }
}
