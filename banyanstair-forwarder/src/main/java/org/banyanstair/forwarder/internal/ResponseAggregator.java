package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.banyanstair.model.NetworkAddress;

/** Gathers a whole answer within limits of time and length. Used on the thread of the connections only. */
public final class ResponseAggregator implements ResponseListener, ResponseMemoryBudget.Holder {
    private final EndpointConnectionPool connections;
    private final NetworkAddress address;
    private final int longest;
    private final Consumer<Optional<FullHttpResponse>> receiver;
    private final ByteBuf body = Unpooled.buffer();
    private Optional<HttpResponse> head = Optional.empty();
    private Optional<EndpointCall> call = Optional.empty();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private boolean over;

    private ResponseAggregator(
            EndpointConnectionPool connections,
            NetworkAddress address,
            int longest,
            Consumer<Optional<FullHttpResponse>> receiver) {
        this.connections = connections;
        this.address = address;
        this.longest = longest;
        this.receiver = receiver;
    }

    /**
     * Sends a request and waits for its answer.
     *
     * @param connections the connections
     * @param loop their thread
     * @param address where to
     * @param request the request
     * @param limit time after which the connection is given up
     * @param longest bytes of the longest body; a longer one counts as no answer
     * @param receiver gets the answer, empty if none came in time
     */
    public static void request(
            EndpointConnectionPool connections,
            EventLoop loop,
            NetworkAddress address,
            FullHttpRequest request,
            Duration limit,
            int longest,
            Consumer<Optional<FullHttpResponse>> receiver) {
        ResponseAggregator answer = new ResponseAggregator(connections, address, longest, receiver);
        answer.timer = Optional.of(loop.schedule(answer::giveUp, limit.toMillis(), TimeUnit.MILLISECONDS));
        answer.call = Optional.of(connections.call(address, request, answer));
    }

    private void giveUp() {
        call.ifPresent(EndpointCall::cancel);
        finish(Optional.empty());
    }

    private void finish(Optional<FullHttpResponse> response) {
        if (over) {
            response.ifPresent(FullHttpResponse::release);
            return;
        }
        over = true;
        timer.ifPresent(future -> future.cancel(false));
        try {
            receiver.accept(response);
        } finally {
            body.release();
            connections.memory().resize(this, 0);
        }
    }

    private void reject(ResponseFault fault) {
        connections.reject(address, fault);
        giveUp();
    }

    @Override
    public void head(HttpResponse response) {
        head = Optional.of(response);
    }

    @Override
    public void content(ByteBuf bytes) {
        if (over) {
            return;
        }
        if (body.readableBytes() + bytes.readableBytes() > longest) {
            reject(ResponseFault.LONG_BODY);
        } else {
            body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
            connections.memory().resize(this, body.readableBytes());
        }
    }

    @Override
    public void evict() {
        reject(ResponseFault.MEMORY);
    }

    @Override
    public boolean usesBody() {
        return true;
    }

    @Override
    public void rejected(ResponseFault fault) {
        finish(Optional.empty());
    }

    @Override
    public boolean isForeign() {
        return false;
    }

    @Override
    public void end() {
        HttpResponse known = head.orElseThrow();
        FullHttpResponse whole = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, known.status(), body);
        whole.headers().set(known.headers());
        finish(Optional.of(whole));
    }

    @Override
    public void failed(boolean mayHaveRun) {
        finish(Optional.empty());
    }
}
