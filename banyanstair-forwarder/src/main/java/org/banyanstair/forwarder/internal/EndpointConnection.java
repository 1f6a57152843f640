package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.banyanstair.model.NetworkAddress;
import org.tinylog.Logger;

/** HTTP/1.1 connection to an endpoint, which carries one call at a time. Used on the event loop thread only. */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    /** Keep-alive time-out for endpoints that do not state one. */
    private static final Duration DEFAULT_KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Idle connections are dropped this long before the endpoint closes them, so that no request is sent into the
     * close.
     */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(700);

    /**
     * Time from the first byte of a response to the end of its head. A head is a few packets that an endpoint sends
     * at once; this allows several retransmissions of a lost packet.
     */
    private static final Duration HEAD_TIMEOUT = Duration.ofSeconds(1);

    private static final Pattern KEEP_ALIVE_PATTERN = Pattern.compile("timeout=(\\d{1,6})");

    private static final Pattern STATUS_LINE_PATTERN = Pattern.compile("HTTP/1\\.[01] \\d{3}");

    private final EndpointConnectionPool pool;
    private final NetworkAddress address;
    private final EndpointCodec codec;
    private Optional<Channel> channel = Optional.empty();
    private EndpointCall call;
    private boolean responseStarted;
    private boolean keepAlive;
    private Duration keepAliveTimeout = DEFAULT_KEEP_ALIVE_TIMEOUT;
    private long idleSinceNanos;
    private boolean foreignResponseEnded;
    private boolean processChecked;
    private OptionalLong process = OptionalLong.empty();
    private ResponseOverhead overhead = new ResponseOverhead();
    private Optional<ScheduledFuture<?>> headTimer = Optional.empty();

    EndpointConnection(EndpointConnectionPool pool, NetworkAddress address, EndpointCodec codec) {
        this.pool = pool;
        this.address = address;
        this.codec = codec;
    }

    NetworkAddress address() {
        return address;
    }

    boolean isUsable() {
        return channel.isPresent()
                && channel.get().isActive()
                && System.nanoTime() - idleSinceNanos < keepAliveTimeout.toNanos();
    }

    void close() {
        channel.ifPresent(Channel::close);
    }

    /** Returns the handler that counts received bytes before they are decoded. */
    ChannelInboundHandlerAdapter byteCounter() {
        return new ByteCounter();
    }

    EndpointCodec codec() {
        return codec;
    }

    /** Returns the start of the process at the other end, which never changes; empty if it has not been confirmed. */
    OptionalLong process() {
        return process;
    }

    boolean leadsTo(long started) {
        return process.isPresent() && process.getAsLong() == started;
    }

    /** Records that the process at the other end is the one that started then. */
    void confirmProcess(long started) {
        process = OptionalLong.of(started);
    }

    boolean isProcessChecked() {
        return processChecked;
    }

    /** Records that a request is sent whose response does not name its request. */
    void markProcessChecked() {
        processChecked = true;
    }

    void start(EndpointCall newCall, FullHttpRequest request) {
        call = newCall;
        newCall.setProcessChecked(processChecked);
        responseStarted = false;
        overhead = new ResponseOverhead();
        Channel used = channel.orElseThrow();
        newCall.attach(used);
        // Reading may still be paused from the previous call, whose caller was slow.
        used.config().setAutoRead(newCall.isAutoRead());
        int bodyBytes = request.content().readableBytes();
        pool.backlog().add(address, bodyBytes);
        used.writeAndFlush(request).addListener(future -> {
            pool.backlog().remove(address, bodyBytes);
            if (!future.isSuccess()) {
                onConnectionLost();
            }
        });
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = Optional.of(context.channel());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (call == null
                    || call.isFinished()
                    || ((HttpObject) message).decoderResult().isFailure()) {
                if (call == null) {
                    reject(ResponseFault.UNEXPECTED_BYTES);
                } else if (call.isFinished()) {
                    onConnectionLost();
                } else {
                    reject(ResponseFault.MALFORMED);
                }
                return;
            }
            EndpointCall current = call;
            if (message instanceof HttpResponse head) {
                if (current.isConnectionReused() && containsStatusLine(head)) {
                    reject(ResponseFault.MALFORMED);
                    return;
                }
                responseStarted = true;
                keepAlive = HttpUtil.isKeepAlive(head) && isSelfDelimited(head);
                updateKeepAliveTimeout(head);
                current.listener().onHead(head);
                if (!current.isFinished() && current.listener().isForeign() && !isSelfDelimited(head)) {
                    // Its body would extend to the end of the connection and contain the awaited response.
                    reject(ResponseFault.AMBIGUOUS);
                    return;
                }
                if (current.listener().expectsBody()) {
                    cancelHeadTimer();
                }
            }
            if (message instanceof HttpContent content && !current.isFinished()) {
                if (content.content().isReadable()) {
                    if (current.listener().expectsBody()) {
                        overhead.addBody(content.content().readableBytes());
                    }
                    current.listener().onContent(content.content());
                }
                if (message instanceof LastHttpContent && !current.isFinished()) {
                    completeCall(current);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Returns whether a truncated head, as of a partial copy, continues with the status line of the next response. */
    private static boolean containsStatusLine(HttpResponse head) {
        return STATUS_LINE_PATTERN.matcher(head.status().reasonPhrase()).find()
                || head.headers().entries().stream()
                        .anyMatch(header ->
                                STATUS_LINE_PATTERN.matcher(header.getValue()).find());
    }

    private static boolean isSelfDelimited(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                || head.status().code() == 204
                || head.status().code() == 304;
    }

    private void completeCall(EndpointCall current) {
        responseStarted = false;
        cancelHeadTimer();
        if (current.listener().isForeign()) {
            foreignResponseEnded = true;
            // After a response to an earlier request, the connection is not reused.
            keepAliveTimeout = Duration.ZERO;
            return;
        }
        current.markFinished();
        call = null;
        if (!keepAlive || !current.listener().identifiesRequest() || keepAliveTimeout.isZero()) {
            close();
        } else if (codec.undecodedBytes() > 0) {
            // They would become the beginning of the next response.
            reject(ResponseFault.UNEXPECTED_BYTES);
        } else {
            idleSinceNanos = System.nanoTime();
            // Otherwise the end of the connection is not noticed while it is idle.
            channel.orElseThrow().config().setAutoRead(true);
            pool.release(this);
        }
        current.listener().onComplete();
    }

    private void updateKeepAliveTimeout(HttpResponse head) {
        String text = head.headers().get("Keep-Alive", "");
        Matcher matcher = KEEP_ALIVE_PATTERN.matcher(text);
        if (matcher.find() && !keepAliveTimeout.isZero()) {
            Duration timeout =
                    Duration.ofSeconds(Long.parseLong(matcher.group(1))).minus(KEEP_ALIVE_MARGIN);
            keepAliveTimeout = timeout.isNegative() ? Duration.ZERO : timeout;
        }
    }

    private void onConnectionLost() {
        endCall(EndpointCall::connectionLost);
    }

    /** Closes the connection because of what the endpoint sent. */
    private void reject(ResponseFault fault) {
        if (channel.filter(Channel::isActive).isPresent()) {
            pool.reportRejected(address, fault);
        }
        endCall(current -> current.reject(fault));
    }

    private void endCall(Consumer<EndpointCall> action) {
        pool.remove(this);
        cancelHeadTimer();
        Optional<EndpointCall> current = Optional.ofNullable(call);
        call = null;
        close();
        current.ifPresent(action);
    }

    private void cancelHeadTimer() {
        headTimer.ifPresent(timer -> timer.cancel(false));
        headTimer = Optional.empty();
    }

    private void onHeadTimeout() {
        if (call != null && !call.isFinished()) {
            reject(ResponseFault.SLOW_HEAD);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onConnectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.debug("connection to {} failed: {}", address, cause.toString());
        onConnectionLost();
    }

    /** Counts bytes before they are decoded, because the decoder discards some bytes silently. */
    private final class ByteCounter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (call == null) {
                ReferenceCountUtil.release(message);
                reject(ResponseFault.UNEXPECTED_BYTES);
                return;
            }
            EndpointCall current = call;
            overhead.addReceived(((ByteBuf) message).readableBytes());
            foreignResponseEnded = false;
            context.fireChannelRead(message);
            // The end of a response may have started the next call on this connection.
            if (call != current || call.isFinished()) {
                return;
            }
            if (overhead.isExcessive()) {
                reject(ResponseFault.EXCESS_BYTES);
            } else if (headTimer.isEmpty()
                    && !foreignResponseEnded
                    && !(responseStarted && call.listener().expectsBody())) {
                headTimer = Optional.of(context.channel()
                        .eventLoop()
                        .schedule(
                                EndpointConnection.this::onHeadTimeout,
                                HEAD_TIMEOUT.toMillis(),
                                TimeUnit.MILLISECONDS));
            }
        }
    }
}
