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

/** One running generation: reads its stream, checks the token indexes and reports exactly one end. */
final class GenerationCall implements Callback {
    private static final String END_MARK = "[DONE]";

    private final Endpoint endpoint;
    private final EngineRequest request;
    private final TokenListener listener;
    private final EndpointHttpClient.SendState watch;
    private final AtomicBoolean cancelled = new AtomicBoolean();
    private final Runnable whenEnded;
    private volatile Call call;

    /** Time of the last token or of the start; 0 before the start. */
    private volatile long lastNanos;

    GenerationCall(
            Endpoint endpoint,
            EngineRequest request,
            TokenListener listener,
            EndpointHttpClient.SendState watch,
            Runnable whenEnded) {
        this.endpoint = endpoint;
        this.request = request;
        this.listener = listener;
        this.watch = watch;
        this.whenEnded = whenEnded;
    }

    void start(Call started) {
        call = started;
        lastNanos = System.nanoTime() | 1;
        started.enqueue(this);
    }

    /** Cancels once; returns whether this was the first time. */
    boolean cancel() {
        boolean first = cancelled.compareAndSet(false, true);
        if (first) {
            call.cancel();
        }
        return first;
    }

    /** Closes the connection if no token came for too long; returns whether it did. */
    boolean closeIfSilent(long now, long limitNanos) {
        long last = lastNanos;
        boolean silent = last != 0 && now - last > limitNanos;
        if (silent) {
            call.cancel();
        }
        return silent;
    }

    @Override
    public void onFailure(Call failed, IOException exception) {
        if (watch.isSent()) {
            end(new GenerationResult.Broken(failureAfterSending()));
        } else {
            Failure failure = EndpointHttpClient.isPast(request.deadline())
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
            // A listener that throws must not leave a stream without an end.
            Logger.error(exception, "the listener of request {} failed", request.requestId());
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
            if (reader.id() < 0 && END_MARK.equals(reader.data())) {
                return new GenerationResult.Complete();
            }
            if (reader.id() != expected) {
                throw new ProtocolException("token " + expected + " was expected, but " + reader.id() + " came");
            }
            lastNanos = nonZeroNanos();
            listener.token(expected, reader.data());
            expected++;
        }
    }

    private GenerationResult refusal(EngineResponse answer) {
        if (!answer.isWithoutEffect()) {
            return new GenerationResult.Broken(new Failure.EndpointFailed(endpoint.id()));
        }
        return new GenerationResult.NotStarted(
                "adapter_not_loaded".equals(answer.code())
                        ? new Failure.AdapterNotLoaded(endpoint.id(), request.adapter())
                        : new Failure.EndpointRefused(endpoint.id(), answer.status()));
    }

    /** A passed deadline says nothing about the endpoint, so it is not reported as a failure of the endpoint. */
    private Failure failureAfterSending() {
        if (cancelled.get()) {
            return new Failure.Cancelled();
        }
        return EndpointHttpClient.isPast(request.deadline())
                ? new Failure.OutcomeUnknown()
                : new Failure.EndpointFailed(endpoint.id());
    }

    private void end(GenerationResult end) {
        whenEnded.run();
        listener.end(end);
    }

    private static long nonZeroNanos() {
        return System.nanoTime() | 1;
    }
}
