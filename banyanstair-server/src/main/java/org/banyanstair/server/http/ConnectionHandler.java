package org.banyanstair.server.http;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.banyanstair.errors.Failure;

/**
 * Passes the requests of a connection to Jooby one at a time, and detects when the connection closes before the
 * response has ended.
 *
 * <p>Jooby receives the request without its body, because it would decode forms; the unmodified body is kept
 * separately.
 */
final class ConnectionHandler extends ChannelDuplexHandler {
    /** Requests buffered behind the one in flight; reading resumes when there is room again. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 4;

    private static final ThreadLocal<IncomingRequest> DISPATCHED = new ThreadLocal<>();

    private final ListenerState state;
    private final Queue<FullHttpRequest> pipelined = new ArrayDeque<>();
    private Optional<RejectedRequest> rejected = Optional.empty();
    private IncomingRequest current;
    private boolean closeAfterResponse;

    ConnectionHandler(ListenerState state) {
        this.state = state;
    }

    /** Returns the request that the calling event loop thread is currently dispatching. */
    static IncomingRequest dispatched() {
        return Optional.ofNullable(DISPATCHED.get()).orElseThrow();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        state.connections().add(context.channel());
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            context.fireChannelRead(message);
        } else if (rejected.isPresent()) {
            request.release();
        } else if (current == null && pipelined.isEmpty()) {
            dispatch(context, request);
        } else {
            pipelined.add(request);
            if (pipelined.size() >= MAXIMUM_PIPELINED_REQUESTS) {
                context.channel().config().setAutoRead(false);
            }
        }
    }

    private void dispatch(ChannelHandlerContext context, FullHttpRequest request) {
        try {
            if (request.decoderResult().isFailure()) {
                Failure failure = new Failure.InvalidField(
                        "request head",
                        "well-formed and at most " + HttpListenerOptions.MAXIMUM_HEADER_BYTES + " bytes");
                DirectErrorResponse.sendAndClose(context, failure);
                return;
            }
            current = new IncomingRequest(context.channel(), request);
            closeAfterResponse = !HttpUtil.isKeepAlive(request);
            state.requestStarted();
            forward(context, request);
        } finally {
            request.release();
        }
    }

    private void forward(ChannelHandlerContext context, FullHttpRequest request) {
        HttpHeaders headers = request.headers()
                .copy()
                .remove(HttpHeaderNames.CONTENT_LENGTH)
                .remove(HttpHeaderNames.TRANSFER_ENCODING)
                .remove(HttpHeaderNames.CONTENT_TYPE);
        DISPATCHED.set(current);
        try {
            context.fireChannelRead(
                    new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), headers));
            context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT);
            context.fireChannelReadComplete();
        } finally {
            DISPATCHED.remove();
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse response && state.isDraining() && isLastRequest()) {
            closeAfterResponse = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (message instanceof HttpResponse response
                && current != null
                && !current.supportsChunkedEncoding()
                && HttpUtil.isTransferEncodingChunked(response)) {
            closeAfterResponse = true;
            HttpUtil.setTransferEncodingChunked(response, false);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelPromise flushed = promise;
        if (message instanceof LastHttpContent) {
            IncomingRequest answered = current;
            flushed = promise.unvoid();
            flushed.addListener(done -> responseEnded(context, answered));
        }
        context.write(message, flushed);
    }

    private void responseEnded(ChannelHandlerContext context, IncomingRequest answered) {
        if (answered == null || answered != current || !context.channel().isActive()) {
            return;
        }
        if (answered.end()) {
            state.requestEnded();
        }
        current = null;
        if (closeAfterResponse) {
            context.close();
        } else if (!isLastRequest()) {
            context.executor().execute(() -> dispatchNext(context));
        }
    }

    private boolean isLastRequest() {
        return pipelined.isEmpty() && rejected.isEmpty();
    }

    private void dispatchNext(ChannelHandlerContext context) {
        if (current != null || !context.channel().isActive()) {
            return;
        }
        if (!pipelined.isEmpty()) {
            FullHttpRequest next = pipelined.remove();
            context.channel().config().setAutoRead(pipelined.size() < MAXIMUM_PIPELINED_REQUESTS);
            dispatch(context, next);
        } else if (rejected.isPresent()) {
            DirectErrorResponse.sendAndClose(context, rejected.get().failure());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
        if (current != null) {
            IncomingRequest interrupted = current;
            current = null;
            interrupted.disconnect();
            state.requestEnded();
        }
        context.fireChannelInactive();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof RejectedRequest request) {
            if (rejected.isEmpty()) {
                rejected = Optional.of(request);
                dispatchNext(context);
            }
        } else if (event != ListenerState.CloseIfIdle.EVENT) {
            context.fireUserEventTriggered(event);
        } else if (current == null && isLastRequest()) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
