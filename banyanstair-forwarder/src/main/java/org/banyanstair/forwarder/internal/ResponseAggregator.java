package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.banyanstair.model.NetworkAddress;

/** Buffers a response until it is complete, with limits on time and size. Used on the event loop thread only. */
public final class ResponseAggregator implements ResponseListener {
    private final EndpointConnectionPool connections;
    private final NetworkAddress address;
    private final int maximumBodyBytes;
    private final Consumer<Optional<FullHttpResponse>> callback;
    private final ByteBuf body = Unpooled.buffer();
    private Optional<HttpResponse> head = Optional.empty();
    private Optional<EndpointCall> call = Optional.empty();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private final ConnectionMemoryBudget.Account memory;
    private boolean finished;

    private ResponseAggregator(
            EndpointConnectionPool connections,
            NetworkAddress address,
            int maximumBodyBytes,
            Consumer<Optional<FullHttpResponse>> callback) {
        this.connections = connections;
        this.address = address;
        this.maximumBodyBytes = maximumBodyBytes;
        this.callback = callback;
        this.memory = connections
                .memoryBudget()
                .open(ConnectionMemoryBudget.Kind.RESPONSE, () -> reject(ResponseFault.MEMORY));
    }

    /**
     * Sends a request and aggregates its response.
     *
     * @param timeout time after which the call is cancelled
     * @param timeoutListener called after the callback if no response arrived in time
     * @param maximumBodyBytes a longer body counts as no response
     * @param callback receives the response, empty if none arrived in time
     */
    public static ResponseAggregator send(
            EndpointConnectionPool connections,
            NetworkAddress address,
            FullHttpRequest request,
            Duration timeout,
            int maximumBodyBytes,
            Runnable timeoutListener,
            Consumer<Optional<FullHttpResponse>> callback) {
        ResponseAggregator aggregator = new ResponseAggregator(connections, address, maximumBodyBytes, callback);
        aggregator.timer = Optional.of(connections
                .loop()
                .schedule(() -> aggregator.onTimeout(timeoutListener), timeout.toMillis(), TimeUnit.MILLISECONDS));
        aggregator.call = Optional.of(connections.send(address, request, aggregator));
        return aggregator;
    }

    /** Cancels the call without a callback. */
    public void cancel() {
        if (!finished) {
            finished = true;
            call.ifPresent(EndpointCall::cancel);
            release();
        }
    }

    private void onTimeout(Runnable timeoutListener) {
        boolean silent = !finished && head.isEmpty();
        abort();
        if (silent) {
            connections.closeIdle(address);
            timeoutListener.run();
        }
    }

    private void abort() {
        call.ifPresent(EndpointCall::cancel);
        finish(Optional.empty());
    }

    private void finish(Optional<FullHttpResponse> response) {
        if (finished) {
            response.ifPresent(FullHttpResponse::release);
            return;
        }
        finished = true;
        try {
            callback.accept(response);
        } finally {
            release();
        }
    }

    private void release() {
        timer.ifPresent(future -> future.cancel(false));
        body.release();
        memory.set(0);
    }

    private void reject(ResponseFault fault) {
        connections.reportRejected(address, fault);
        abort();
    }

    @Override
    public void onHead(HttpResponse response) {
        head = Optional.of(response);
    }

    @Override
    public void onContent(ByteBuf bytes) {
        if (finished) {
            return;
        }
        if (body.readableBytes() + bytes.readableBytes() > maximumBodyBytes) {
            reject(ResponseFault.LONG_BODY);
        } else {
            body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
            memory.progressed();
            memory.set(body.readableBytes());
        }
    }

    @Override
    public boolean expectsBody() {
        return true;
    }

    @Override
    public void onRejected(ResponseFault fault) {
        finish(Optional.empty());
    }

    @Override
    public boolean isForeign() {
        return false;
    }

    @Override
    public void onComplete() {
        HttpResponse receivedHead = head.orElseThrow();
        FullHttpResponse fullResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, receivedHead.status(), body);
        fullResponse.headers().set(receivedHead.headers());
        finish(Optional.of(fullResponse));
    }

    @Override
    public void onFailure(boolean mayHaveRun) {
        finish(Optional.empty());
    }
}
