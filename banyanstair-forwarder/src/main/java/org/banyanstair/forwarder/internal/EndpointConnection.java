package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.util.Optional;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.banyanstair.model.NetworkAddress;
import org.tinylog.Logger;

/** One connection to an endpoint. Used on the thread of its event loop only. */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    /** Time for which a connection is kept when the endpoint does not say how long it keeps it. */
    private static final Duration DEFAULT_IDLE = Duration.ofSeconds(2);

    /** Kept connections are given up this long before the endpoint closes them, so that no request crosses that. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

    /**
     * Time from the first byte of an answer to the end of its head; several retransmissions of a lost packet.
     * A head is a few packets that an endpoint sends at once.
     */
    private static final Duration HEAD_LIMIT = Duration.ofSeconds(1);

    private static final Pattern KEEP_ALIVE = Pattern.compile("timeout=(\\d{1,6})");

    private final EndpointConnectionPool owner;
    private final NetworkAddress address;
    private Optional<Channel> channel = Optional.empty();
    private EndpointCall call;
    private boolean answering;
    private boolean mayKeep;
    private Duration idleLimit = DEFAULT_IDLE;
    private long idleSinceNanos;
    private boolean foreignEnded;
    private ResponseOverhead bytes = new ResponseOverhead();
    private Optional<ScheduledFuture<?>> headTimer = Optional.empty();

    EndpointConnection(EndpointConnectionPool owner, NetworkAddress address) {
        this.owner = owner;
        this.address = address;
    }

    NetworkAddress address() {
        return address;
    }

    boolean isUsable() {
        return channel.isPresent()
                && channel.get().isActive()
                && System.nanoTime() - idleSinceNanos < idleLimit.toNanos();
    }

    void close() {
        channel.ifPresent(Channel::close);
    }

    /** Returns the handler that sees the bytes before they are decoded. */
    ChannelInboundHandlerAdapter received() {
        return new Received();
    }

    void begin(EndpointCall newCall, FullHttpRequest request) {
        call = newCall;
        answering = false;
        bytes = new ResponseOverhead();
        Channel used = channel.orElseThrow();
        newCall.connecting(used);
        // The call before may have ended while its caller read slowly.
        used.config().setAutoRead(newCall.isReading());
        used.writeAndFlush(request).addListener(future -> {
            if (!future.isSuccess()) {
                broken();
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
                    || call.isOver()
                    || ((HttpObject) message).decoderResult().isFailure()) {
                if (call == null) {
                    reject(ResponseFault.UNEXPECTED_BYTES);
                } else if (call.isOver()) {
                    broken();
                } else {
                    reject(ResponseFault.MALFORMED);
                }
                return;
            }
            EndpointCall current = call;
            if (message instanceof HttpResponse head) {
                answering = true;
                mayKeep = HttpUtil.isKeepAlive(head)
                        && (HttpUtil.isContentLengthSet(head)
                                || HttpUtil.isTransferEncodingChunked(head)
                                || head.status().code() == 204
                                || head.status().code() == 304);
                noteIdleLimit(head);
                current.listener().head(head);
                if (current.listener().usesBody()) {
                    endHeadTimer();
                }
            }
            if (message instanceof HttpContent content && !current.isOver()) {
                if (content.content().isReadable()) {
                    if (current.listener().usesBody()) {
                        bytes.used(content.content().readableBytes());
                    }
                    current.listener().content(content.content());
                }
                if (message instanceof LastHttpContent && !current.isOver()) {
                    end(current);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void end(EndpointCall current) {
        answering = false;
        endHeadTimer();
        if (current.listener().isForeign()) {
            foreignEnded = true;
            // After an answer to an earlier request, the connection is not used for another one.
            idleLimit = Duration.ZERO;
            return;
        }
        current.finished();
        call = null;
        if (mayKeep && !idleLimit.isZero()) {
            idleSinceNanos = System.nanoTime();
            owner.keep(this);
        } else {
            close();
        }
        current.listener().end();
    }

    private void noteIdleLimit(HttpResponse head) {
        String text = head.headers().get("Keep-Alive", "");
        Matcher matcher = KEEP_ALIVE.matcher(text);
        if (matcher.find() && !idleLimit.isZero()) {
            Duration limit =
                    Duration.ofSeconds(Long.parseLong(matcher.group(1))).minus(IDLE_MARGIN);
            idleLimit = limit.isNegative() ? Duration.ZERO : limit;
        }
    }

    private void broken() {
        endCall(EndpointCall::broken);
    }

    /** Closes the connection on account of what the endpoint sent. */
    private void reject(ResponseFault fault) {
        if (channel.filter(Channel::isActive).isPresent()) {
            owner.reject(address, fault);
        }
        endCall(current -> current.rejected(fault));
    }

    private void endCall(Consumer<EndpointCall> how) {
        owner.forget(this);
        endHeadTimer();
        Optional<EndpointCall> current = Optional.ofNullable(call);
        call = null;
        close();
        current.ifPresent(how);
    }

    private void endHeadTimer() {
        headTimer.ifPresent(timer -> timer.cancel(false));
        headTimer = Optional.empty();
    }

    private void headIsLate() {
        if (call != null && !call.isOver()) {
            reject(ResponseFault.SLOW_HEAD);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        broken();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.debug("connection to {} failed: {}", address, cause.toString());
        broken();
    }

    /** Counts bytes before they are decoded, because the decoder skips some without a trace. */
    private final class Received extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (call == null) {
                ReferenceCountUtil.release(message);
                reject(ResponseFault.UNEXPECTED_BYTES);
                return;
            }
            EndpointCall current = call;
            bytes.received(((ByteBuf) message).readableBytes());
            foreignEnded = false;
            context.fireChannelRead(message);
            // The end of an answer may have begun the next call on this connection.
            if (call != current || call.isOver()) {
                return;
            }
            if (bytes.excessive()) {
                reject(ResponseFault.EXCESS_BYTES);
            } else if (headTimer.isEmpty()
                    && !foreignEnded
                    && !(answering && call.listener().usesBody())) {
                headTimer = Optional.of(context.channel()
                        .eventLoop()
                        .schedule(EndpointConnection.this::headIsLate, HEAD_LIMIT.toMillis(), TimeUnit.MILLISECONDS));
            }
        }
    }
}
