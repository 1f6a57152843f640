package org.banyanstair.external.http;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.concurrent.atomic.AtomicBoolean;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.EngineRequest;
import org.banyanstair.external.GenerationResult;
import org.banyanstair.external.TokenListener;
import org.banyanstair.membership.Endpoint;
import org.tinylog.Logger;

/**
 * A running generation: reads its event stream, verifies the token indexes, and reports exactly one end to the
 * listener.
 */
final class GenerationCall implements Callback {
    private static final String STREAM_END_MARKER = "[DONE]";

    private final Endpoint endpoint;
    private final EngineRequest request;
    private final TokenListener listener;
    private final EndpointHttpClient.SendState sendState;
    private final AtomicBoolean cancelled = new AtomicBoolean();
    private final Runnable onEnd;
    private volatile Call call;

    /** System.nanoTime() of the last token or of the start; 0 before the start. */
    private volatile long lastTokenNanos;

    GenerationCall(
            Endpoint endpoint,
            EngineRequest request,
            TokenListener listener,
            EndpointHttpClient.SendState sendState,
            Runnable onEnd) {
        this.endpoint = endpoint;
        this.request = request;
        this.listener = listener;
        this.sendState = sendState;
        this.onEnd = onEnd;
    }

    void start(Call started) {
        call = started;
        lastTokenNanos = System.nanoTime() | 1;
        started.enqueue(this);
    }

    /** Cancels the call. Returns false if it had already been cancelled. */
    boolean cancel() {
        boolean first = cancelled.compareAndSet(false, true);
        if (first) {
            call.cancel();
        }
        return first;
    }

    /** Cancels the call if no token arrived within the timeout. */
    void cancelIfStalled(long now, long timeoutNanos) {
        long last = lastTokenNanos;
        if (last != 0 && now - last > timeoutNanos) {
            call.cancel();
        }
    }

    @Override
    public void onFailure(Call failed, IOException exception) {
        if (sendState.isSent()) {
            end(new GenerationResult.Broken(failureAfterSending()));
        } else {
            Failure failure = EndpointHttpClient.hasPassed(request.deadline())
                    ? new Failure.DeadlinePassed(request.deadline())
                    : new Failure.EndpointUnreachable(endpoint.id());
            end(new GenerationResult.NotStarted(cancelled.get() ? new Failure.Cancelled() : failure));
        }
    }

    @Override
    public void onResponse(Call answered, Response response) {
        GenerationResult end;
        try (response) {
            end = response.code() == 200 ? readStream(response) : refusal(EngineResponse.read(response));
        } catch (IOException exception) {
            end = new GenerationResult.Broken(failureAfterSending());
        } catch (RuntimeException exception) {
            // A listener that throws must still be notified of the end of its stream.
            Logger.error(exception, "token listener of request {} threw an exception", request.requestId());
            end = new GenerationResult.Broken(new Failure.OutcomeUnknown());
        }
        end(end);
    }

    private GenerationResult readStream(Response response) throws IOException {
        ServerSentEventReader reader = new ServerSentEventReader(response.body().source());
        long expected = request.nextToken();
        while (true) {
            reader.next();
            if (cancelled.get()) {
                return new GenerationResult.Broken(new Failure.Cancelled());
            }
            if (reader.id() < 0 && STREAM_END_MARKER.equals(reader.data())) {
                return new GenerationResult.Complete();
            }
            if (reader.id() != expected) {
                throw new ProtocolException("expected token " + expected + ", got " + reader.id());
            }
            lastTokenNanos = nonZeroNanos();
            listener.token(expected, reader.data());
            expected++;
        }
    }

    private GenerationResult refusal(EngineResponse response) {
        if (!response.hadNoEffect()) {
            return new GenerationResult.Broken(new Failure.EndpointFailed(endpoint.id()));
        }
        return new GenerationResult.NotStarted(
                "adapter_not_loaded".equals(response.code())
                        ? new Failure.AdapterNotLoaded(endpoint.id(), request.adapter())
                        : new Failure.EndpointRefused(endpoint.id(), response.status()));
    }

    /**
     * Returns the failure of a call that may have run. An expired deadline is not reported as a failure of the
     * endpoint, because it does not indicate one.
     */
    private Failure failureAfterSending() {
        if (cancelled.get()) {
            return new Failure.Cancelled();
        }
        return EndpointHttpClient.hasPassed(request.deadline())
                ? new Failure.OutcomeUnknown()
                : new Failure.EndpointFailed(endpoint.id());
    }

    private void end(GenerationResult end) {
        onEnd.run();
        listener.end(end);
    }

    private static long nonZeroNanos() {
        return System.nanoTime() | 1;
    }
}
