package org.banyanstair.testsupport.fault;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.jooby.Context;
import org.tinylog.Logger;

/** Runs operations and applies delays, outages and lost responses to them. */
final class OperationRunner {
    private final FaultInjector injector;
    private final Counters counters;
    private final ScheduledExecutorService timer;

    OperationRunner(FaultInjector injector, Counters counters, ScheduledExecutorService timer) {
        this.injector = injector;
        this.counters = counters;
        this.timer = timer;
    }

    Context withFaults(Context context, Operation operation) throws Exception {
        Request request = new Request(context, context.body().bytes());
        return context.detach(ignored -> {
            afterDelay(injector.get().delayMillis(), () -> runUnlessUnavailable(request, operation));
            return context;
        });
    }

    Context withoutFaults(Context context, Operation operation) throws Exception {
        Request request = new Request(context, context.body().bytes());
        return context.detach(ignored -> {
            run(request, operation).thenAccept(reply -> send(context, reply));
            return context;
        });
    }

    private void runUnlessUnavailable(Request request, Operation operation) {
        if (injector.isUnavailable()) {
            counters.add("unavailable", 1);
            send(request.context(), Reply.error(503, "unavailable"));
            return;
        }
        run(request, operation)
                .thenAccept(reply ->
                        afterDelay(injector.get().answerDelayMillis(), () -> sendUnlessLost(request.context(), reply)));
    }

    private static CompletableFuture<Reply> run(Request request, Operation operation) {
        CompletableFuture<Reply> result;
        try {
            result = operation.run(request);
        } catch (RuntimeException exception) {
            result = CompletableFuture.failedFuture(exception);
        }
        return result.exceptionally(OperationRunner::toErrorReply);
    }

    private static Reply toErrorReply(Throwable thrown) {
        Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
        if (cause instanceof IllegalArgumentException) {
            return Reply.error(400, "malformed_request");
        }
        Logger.error(cause, "stand-in operation failed; responding with status 500");
        return Reply.error(500, "internal_error");
    }

    private void sendUnlessLost(Context context, Reply reply) {
        if (injector.consumeLostAnswer(context.getMethod())) {
            counters.add("lostAnswers", 1);
            ConnectionCloser.close(context);
        } else {
            send(context, reply);
        }
    }

    private void afterDelay(long millis, Runnable task) {
        if (millis == 0) {
            task.run();
        } else {
            timer.schedule(task, millis, TimeUnit.MILLISECONDS);
        }
    }

    private static void send(Context context, Reply reply) {
        context.setResponseCode(reply.status());
        context.setResponseType(reply.contentType());
        context.send(reply.body());
        // Jooby flushes at the end of a read on the connection, which is too early for a delayed response.
        ConnectionCloser.channel(context).flush();
    }
}
