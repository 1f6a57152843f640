package org.banyanstair.server.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.EngineClient;
import org.banyanstair.external.EngineRequest;
import org.banyanstair.external.GenerationResult;
import org.banyanstair.external.TokenListener;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.AttemptOutcome;
import org.banyanstair.reducer.Event;
import org.banyanstair.server.service.Generation;
import org.banyanstair.server.service.GenerationSink;

/**
 * Runs the attempts of generations on engines and forwards their tokens to the callers.
 *
 * <p>Tokens bypass the reducer. A broken stream is first resumed on the same engine, for which the permit is still
 * valid, before the attempt is reported as broken. Thread-safe.
 */
final class GenerationExecutor {
    private static final int MAXIMUM_RESUMES_PER_ATTEMPT = 2;

    private final EngineClient engines;
    private final Consumer<Function<Instant, Event>> events;
    private final Map<RequestId, RunningGeneration> generations = new ConcurrentHashMap<>();

    GenerationExecutor(EngineClient engines, Consumer<Function<Instant, Event>> events) {
        this.engines = engines;
        this.events = events;
    }

    void add(Generation generation, GenerationSink sink) {
        generations.put(generation.id(), new RunningGeneration(generation, sink));
    }

    /** Starts an attempt at the first token that earlier attempts have not delivered. */
    void start(RequestId request, int attempt, Endpoint endpoint, long loadStallMilliseconds) {
        RunningGeneration running = generations.get(request);
        if (running == null) {
            reportEnd(request, attempt, new AttemptOutcome.Cancelled());
            return;
        }
        running.startAttempt(attempt);
        running.sink().attemptStarting(loadStallMilliseconds);
        long delivered = running.nextToken();
        byte[] body = delivered == 0 ? running.generation().body() : continuationBody(running);
        generate(running, new Attempt(attempt, endpoint, delivered, body, MAXIMUM_RESUMES_PER_ATTEMPT));
    }

    /**
     * Attempt of a generation.
     *
     * @param previouslyDelivered number of tokens that earlier attempts delivered
     */
    private record Attempt(int number, Endpoint endpoint, long previouslyDelivered, byte[] body, int resumesLeft) {
        boolean isResumed() {
            return resumesLeft < MAXIMUM_RESUMES_PER_ATTEMPT;
        }

        Attempt nextResume() {
            return new Attempt(number, endpoint, previouslyDelivered, body, resumesLeft - 1);
        }
    }

    private void generate(RunningGeneration running, Attempt attempt) {
        Generation generation = running.generation();
        EngineRequest request = new EngineRequest(
                engineRequestId(generation.id(), attempt.number()),
                generation.path(),
                attempt.body(),
                generation.adapter(),
                generation.priority(),
                generation.deadline(),
                running.nextToken(),
                attempt.isResumed());
        TokenListener listener = new TokenListener() {
            @Override
            public void token(long index, String json) {
                running.deliver(attempt.number(), index, json);
            }

            @Override
            public void end(GenerationResult end) {
                attemptEnded(running, attempt, end);
            }
        };
        running.setCancellation(attempt.number(), engines.generate(attempt.endpoint(), request, listener));
    }

    /**
     * Returns the request id for the engine. Each attempt has its own, because an engine may still know an earlier
     * broken attempt.
     */
    private static RequestId engineRequestId(RequestId request, int attempt) {
        return attempt == 1 ? request : new RequestId(request.value() + "." + attempt);
    }

    private void attemptEnded(RunningGeneration running, Attempt attempt, GenerationResult end) {
        if (!running.isCurrent(attempt.number())) {
            return;
        }
        RequestId id = running.generation().id();
        long produced = running.nextToken() - attempt.previouslyDelivered();
        if (end instanceof GenerationResult.Complete) {
            reportEnd(id, attempt.number(), new AttemptOutcome.Completed());
        } else if (end instanceof GenerationResult.NotStarted notStarted) {
            reportEnd(
                    id,
                    attempt.number(),
                    attempt.isResumed() ? broken(notStarted.failure(), produced) : notStarted(notStarted));
        } else if (end instanceof GenerationResult.Broken broken) {
            if (produced > 0 && attempt.resumesLeft() > 0) {
                generate(running, attempt.nextResume());
            } else {
                reportEnd(id, attempt.number(), broken(broken.failure(), produced));
            }
        }
    }

    private static AttemptOutcome notStarted(GenerationResult.NotStarted notStarted) {
        return new AttemptOutcome.NotStarted(notStarted.failure());
    }

    private static AttemptOutcome broken(Failure failure, long produced) {
        return new AttemptOutcome.Broken(failure, produced);
    }

    private void reportEnd(RequestId request, int attempt, AttemptOutcome outcome) {
        events.accept(at -> new Event.AttemptEnded(at, request, attempt, outcome));
    }

    void cancelAttempt(RequestId request, int attempt) {
        Optional.ofNullable(generations.get(request)).ifPresent(running -> running.cancelAttempt(attempt));
    }

    void complete(RequestId request) {
        remove(request).ifPresent(running -> running.sink().completed());
    }

    void fail(RequestId request, Failure failure) {
        remove(request).ifPresent(running -> running.sink().failed(failure));
    }

    private Optional<RunningGeneration> remove(RequestId request) {
        Optional<RunningGeneration> removed = Optional.ofNullable(generations.remove(request));
        removed.ifPresent(RunningGeneration::end);
        return removed;
    }

    /** Cancels a generation whose caller has disconnected; the reducer cancels its attempt. */
    void cancel(RequestId request) {
        Optional.ofNullable(generations.remove(request))
                .ifPresent(running -> running.end().cancel());
        events.accept(at -> new Event.GenerationCancelled(at, request));
    }

    /** Returns a request body that makes another engine continue after the text that the caller has received. */
    private static byte[] continuationBody(RunningGeneration running) {
        try {
            ObjectNode body =
                    (ObjectNode) Mappers.JSON.readTree(running.generation().body());
            List<String> delivered = running.deliveredChunks();
            body.put("continue_from", concatenateText(delivered));
            return Mappers.JSON.writeValueAsBytes(body);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static String concatenateText(List<String> chunks) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String chunk : chunks) {
            JsonNode choice = Mappers.JSON.readTree(chunk).path("choices").path(0);
            text.append(choice.path("text").asText(""));
            text.append(choice.path("delta").path("content").asText(""));
        }
        return text.toString();
    }
}
