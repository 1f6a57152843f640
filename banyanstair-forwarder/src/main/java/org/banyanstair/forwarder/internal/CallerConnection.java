package org.banyanstair.forwarder.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.banyanstair.forwarder.ParsedRequest;
import org.banyanstair.forwarding.DecisionRecord;
import org.banyanstair.forwarding.ForwardingEvent;
import org.banyanstair.forwarding.RefusalReason;
import org.tinylog.Logger;

/**
 * Connection of a caller: reads pipelined requests and writes their responses in order.
 *
 * <p>Used on the event loop thread only.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Requests buffered while an earlier one is in flight; reading resumes when there is room again. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 8;

    /** Bytes of requests that wait behind an earlier one from which on no more is read. */
    private static final int MAXIMUM_PIPELINED_BYTES = 256 << 10;

    /**
     * Part of a response body that is written at once. The socket copies what is written into direct buffers, so a body
     * of 16 MB that its caller does not read would take as much memory beside the heap.
     */
    private static final int BODY_PART_BYTES = 32 << 10;

    /** Interval at which a caller that has not taken its response is checked for progress. */
    private static final Duration PROGRESS_CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Shortest time to come back of a request that was refused for want of memory. */
    private static final Duration REFUSAL_DELAY = Duration.ofSeconds(1);

    /** Spread of that time, so that callers refused together do not come back together. */
    private static final long REFUSAL_SPREAD_MILLISECONDS = 1000;

    /** Step that spreads consecutive refusals over that time; coprime to it. */
    private static final long REFUSAL_SPREAD_STEP = 7919;

    /** Time in which the input of a closed connection is discarded; long enough for a few round trips. */
    private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(1);

    /** Delay between the accept and the next read of the clock that is no sign of a host that is behind. */
    private static final Duration ACCEPT_TOLERANCE = Duration.ofMillis(50);

    /** Lets the kernel send pending data after a close. */
    private static final int LINGER_DISABLED = -1;

    private final ForwarderContext forwarder;
    private final RequestReader reader;
    private final StrictRequestDecoder decoder;
    private final Deque<Delivery> deliveries = new ArrayDeque<>();
    private final SentBytesCounter bytes = new SentBytesCounter(this::updateOutput);
    private final ConnectionMemoryBudget.Account output;
    private final ConnectionMemoryBudget.Account unwritten;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private Channel channel;
    private Instant openedAt = Instant.MAX;
    private Optional<CallerExchange> current = Optional.empty();
    private boolean keepAlive = true;
    private boolean continueExpected;
    private boolean supportsChunks = true;
    private boolean headOnly;
    private boolean closeDelimited;
    private boolean passingThrough;
    private long sentAtLastPassing;
    private boolean closing;
    private boolean closedByHost;
    private boolean disconnected;
    private boolean lingering;
    private long takenAtLastProgress;
    private Instant progressAt = Instant.MIN;
    private Optional<ScheduledFuture<?>> progressCheck = Optional.empty();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();

    /** Why a caller that does not read its response is disconnected. */
    private enum DisconnectCause {
        /** It has taken nothing for too long. */
        STALLED,
        /** The memory for all callers is used up, and it holds the most for the longest time. */
        MEMORY
    }

    /** A response that has not been sent as a whole, with the bytes of the connection before it. */
    private record Delivery(String requestId, long startOffset) {}

    /**
     * Creates the handler of one connection.
     *
     * @param decoder decodes the requests of the connection
     */
    CallerConnection(ForwarderContext forwarder, StrictRequestDecoder decoder) {
        this.forwarder = forwarder;
        this.decoder = decoder;
        this.output = forwarder
                .memory()
                .open(ConnectionMemoryBudget.Kind.OUTPUT, () -> disconnectUnread(DisconnectCause.MEMORY));
        this.unwritten = forwarder
                .memory()
                .openUnread(ConnectionMemoryBudget.Kind.RESPONSE, () -> disconnectUnread(DisconnectCause.MEMORY));
        this.reader = new RequestReader(
                forwarder::limits, this::earliestArrival, forwarder.memory(), () -> channel.eventLoop()
                        .execute(this::processNext));
    }

    /** Returns the handler that counts the bytes of responses after they are encoded. */
    SentBytesCounter byteCounter() {
        return bytes;
    }

    /** Returns the bytes of responses that the operating system has not taken yet. */
    public long unsentBytes() {
        return bytes.queued() - bytes.sent() + body.readableBytes();
    }

    /** Returns whether a request is being read or waits, or a response has not been sent as a whole. */
    public boolean isBusy() {
        return current.isPresent() || !deliveries.isEmpty() || unsentBytes() > 0 || !closing && hasRequestBehind();
    }

    /** Returns whether all responses have been sent and the caller has not closed the connection yet. */
    public boolean isLingering() {
        return lingering;
    }

    /** Reads and processes nothing more, because the process exits. */
    public void stopReading() {
        closing = true;
        channel.config().setAutoRead(false);
    }

    /** Tells the caller at once that no further response comes, since the exit of the process may take a while. */
    public void shutdownOutput() {
        if (unsentBytes() == 0 && deliveries.isEmpty() && channel instanceof SocketChannel socket) {
            socket.shutdownOutput();
        }
    }

    /** Records the requests that end without a whole response because the process exits. */
    public void logExit() {
        logUndelivered(UndeliveredResponse.EndedBy.EXIT);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        limitFirstArrival();
        forwarder.opened(this);
        startTimer(forwarder.limits().idleTimeout());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!closing) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject part) {
        boolean wasReadingBody = reader.isReadingBody();
        int before = reader.pendingCount();
        reader.read(part);
        if (reader.isReadingBody() && !wasReadingBody) {
            startTimer(bodyTimeout());
            continueExpected = part instanceof HttpRequest request && HttpUtil.is100ContinueExpected(request);
            if (current.isEmpty() && before == 0) {
                sendExpectedContinue();
            }
        }
        if (reader.pendingCount() > before) {
            stopTimer();
            updateAutoRead();
            processNext();
        }
    }

    /** Returns the earliest instant at which what is read now may have arrived, which may be before the accept. */
    private Instant earliestArrival() {
        Instant arrival = forwarder.earliestArrival();
        return openedAt.isBefore(arrival) ? openedAt : arrival;
    }

    /** Remembers until the first poll of this connection that its caller may have opened it long before the accept. */
    private void limitFirstArrival() {
        Instant earliest = forwarder.earliestArrival();
        if (earliest.isBefore(forwarder.now().minus(ACCEPT_TOLERANCE))) {
            openedAt = earliest;
            afterRound(() -> afterRound(() -> openedAt = Instant.MAX));
        }
    }

    /** Executes a task in this round of the event loop or the next, but after what is polled in this one. */
    private void afterRound(Runnable task) {
        channel.eventLoop().schedule(task, 1, TimeUnit.MILLISECONDS);
    }

    private void updateAutoRead() {
        channel.config()
                .setAutoRead(reader.isEnded()
                        || reader.pendingCount() < MAXIMUM_PIPELINED_REQUESTS
                                && reader.waitingBytes() < MAXIMUM_PIPELINED_BYTES);
    }

    private void sendExpectedContinue() {
        if (continueExpected) {
            continueExpected = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private Duration bodyTimeout() {
        return forwarder.limits().headerTimeout().plus(forwarder.limits().idleTimeout());
    }

    private void processNext() {
        boolean sending = body.isReadable() || reader.pendingCount() > 0 && !channel.isWritable();
        if (closing || current.isPresent() || sending) {
            // Goes on when the response is complete, and the caller has read most of those before.
            return;
        }
        Optional<PendingRequest> next = reader.poll();
        if (next.isEmpty()) {
            if (reader.isReadingBody()) {
                startTimer(bodyTimeout());
                sendExpectedContinue();
            } else {
                startTimer(forwarder.limits().idleTimeout());
            }
            return;
        }
        updateAutoRead();
        if (next.get() instanceof PendingRequest.Complete complete) {
            process(complete.request(), complete.arrivedAt());
        } else if (next.get() instanceof PendingRequest.Refused refused) {
            refuseForMemory(refused.headers());
        } else if (next.get() instanceof PendingRequest.Rejected rejected) {
            Logger.info("rejecting request of caller {}: {}", channel.remoteAddress(), rejected.message());
            finish(
                    forwarder
                            .protocols()
                            .callers()
                            .errorResponse(rejected.status().code(), rejected.message()),
                    true);
        }
    }

    private void refuseForMemory(HttpHeaders headers) {
        long spread = forwarder.nextExchangeNumber() * REFUSAL_SPREAD_STEP % REFUSAL_SPREAD_MILLISECONDS;
        Duration retryAfter = REFUSAL_DELAY.plusMillis(spread);
        forwarder.log(DecisionRecord.of(
                "refused-for-memory",
                "request",
                forwarder.protocols().callers().findRequestId(headers),
                "caller",
                String.valueOf(channel.remoteAddress()),
                "held-bytes",
                forwarder.memory().heldBytes(ConnectionMemoryBudget.Kind.REQUEST),
                "retry-after-ms",
                retryAfter.toMillis()));
        finish(
                forwarder.protocols().callers().refusalResponse(RefusalReason.HOST_MEMORY, Optional.of(retryAfter)),
                true);
    }

    private void process(FullHttpRequest request, Instant arrivedAt) {
        keepAlive = HttpUtil.isKeepAlive(request);
        supportsChunks = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        headOnly = request.method().equals(HttpMethod.HEAD);
        String caller = channel.remoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "";
        long number = forwarder.nextExchangeNumber();
        deliveries.addLast(
                new Delivery(forwarder.protocols().callers().findRequestId(request.headers()), bytes.queued()));
        ParsedRequest parsed = forwarder.protocols().callers().parseRequest(number, caller, request, arrivedAt);
        if (parsed instanceof ParsedRequest.Valid valid) {
            CallerExchange exchange =
                    new CallerExchange(number, valid.request().id().value(), request, arrivedAt, this, forwarder);
            current = Optional.of(exchange);
            forwarder.register(exchange);
            forwarder.submit(new ForwardingEvent.RequestArrived(valid.request(), Optional.of(arrivedAt)));
        } else if (parsed instanceof ParsedRequest.Malformed malformed) {
            request.release();
            Logger.info("rejecting request of caller {}: malformed {}", caller, malformed.field());
            finish(
                    forwarder
                            .protocols()
                            .callers()
                            .errorResponse(400, malformed.field() + " must be " + malformed.accepted()),
                    false);
        }
    }

    void writeHead(HttpResponse response) {
        // HTTP/1.0 has no chunked encoding, so the close of the connection marks the end of the response.
        HttpUtil.setTransferEncodingChunked(response, supportsChunks);
        if (!supportsChunks) {
            closeDelimited = true;
            // Only a reset tells the caller of a close-delimited response that it is truncated.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        keepAlive = keepAlive && supportsChunks;
        setConnectionHeader(response);
        channel.write(response);
    }

    /** Returns whether the body of the response is left out, because the request has the method HEAD. */
    boolean isHeadOnly() {
        return headOnly;
    }

    /** Writes the head of a response of known length whose body follows as the endpoint sends it. */
    void writeSizedHead(HttpResponse response) {
        passingThrough = true;
        setConnectionHeader(response);
        channel.write(response);
    }

    void write(HttpContent content) {
        channel.write(content);
    }

    boolean isWritable() {
        return channel.isWritable();
    }

    void flush() {
        channel.flush();
        checkProgress();
    }

    /** Writes the last part of a response and proceeds with the next request. */
    void finish(HttpObject last, boolean close) {
        current = Optional.empty();
        reader.requestEnded();
        endPassing();
        if (last instanceof FullHttpResponse response) {
            keepAlive = keepAlive && !close;
            if (headOnly) {
                response.content().clear();
            }
            setConnectionHeader(response);
            if (response.content().readableBytes() > BODY_PART_BYTES && channel.isActive()) {
                channel.write(
                        new DefaultHttpResponse(response.protocolVersion(), response.status(), response.headers()));
                body = response.content();
                unwritten.set(body.readableBytes());
                writeBody();
                return;
            }
        }
        writeLast(last);
    }

    /** Writes the body of a response as far as the caller takes it. */
    private void writeBody() {
        while (body.isReadable() && channel.isWritable()) {
            channel.write(
                    new DefaultHttpContent(body.readRetainedSlice(Math.min(BODY_PART_BYTES, body.readableBytes()))));
            unwritten.progressed();
            unwritten.set(body.readableBytes());
        }
        if (body.isReadable()) {
            flush();
        } else {
            releaseBody();
            writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    private void endPassing() {
        if (passingThrough) {
            passingThrough = false;
            unwritten.set(0);
        }
    }

    private void releaseBody() {
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        unwritten.set(0);
    }

    private void writeLast(HttpObject last) {
        ChannelFuture written = channel.writeAndFlush(last).addListener(this::responseSent);
        if (!keepAlive) {
            closing = true;
            if (closeDelimited) {
                channel.config().setOption(ChannelOption.SO_LINGER, LINGER_DISABLED);
            }
            written.addListener(future -> {
                if (future.isSuccess()) {
                    closeLingering();
                } else {
                    // The caller has gone, so this is not a close by the host.
                    channel.close();
                }
            });
        } else {
            // Scheduled rather than called, so that a long pipeline of requests does not recurse.
            channel.eventLoop().execute(this::processNext);
        }
        checkProgress();
    }

    private void responseSent(Future<? super Void> written) {
        if (written.isSuccess()) {
            deliveries.pollFirst();
        }
    }

    private void close() {
        closedByHost = true;
        channel.close();
    }

    /**
     * Closes the output and discards the input until the caller closes (RFC 9112, section 9.6): a close with unread
     * bytes would reset the connection, which discards what the caller has not received.
     */
    private void closeLingering() {
        if (!(channel instanceof SocketChannel socket) || !channel.isActive()) {
            close();
            return;
        }
        closedByHost = true;
        lingering = true;
        stopTimer();
        timer = Optional.of(
                channel.eventLoop().schedule(this::close, LINGER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
        channel.config().setAutoRead(true);
        socket.shutdownOutput().addListener(shutdown -> {
            if (!shutdown.isSuccess()) {
                close();
            }
        });
    }

    private void logUndelivered(UndeliveredResponse.EndedBy endedBy) {
        for (Delivery delivery : deliveries) {
            long start = delivery.startOffset();
            forwarder.logUndelivered(new UndeliveredResponse(
                    delivery.requestId(),
                    endedBy,
                    bytes.queued() - start + body.readableBytes(),
                    Math.max(0, bytes.sent() - start)));
        }
        reader.completeRequests().forEach(request -> {
            String id = forwarder.protocols().callers().findRequestId(request.headers());
            forwarder.logUndelivered(new UndeliveredResponse(id, endedBy, 0, 0));
        });
    }

    private void setConnectionHeader(HttpResponse response) {
        if (forwarder.isStopping() && !hasRequestBehind()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            reader.end();
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Returns whether a request, or a part of one, has arrived after the current one. */
    private boolean hasRequestBehind() {
        return reader.pendingCount() > 0 || !reader.isEnded() && decoder.hasPartialRequest();
    }

    /** Closes the connection in such a way that the response is seen to be incomplete. */
    void abort() {
        current = Optional.empty();
        reader.requestEnded();
        closing = true;
        close();
    }

    /** Counts what is queued at the socket, whose own buffer is full then. */
    private void updateOutput() {
        long queued = channel != null && channel.isActive() ? bytes.queued() - bytes.sent() : 0;
        output.set(queued > 0 ? queued + ServerSockets.SEND_BUFFER_BYTES : 0);
        if (passingThrough) {
            if (bytes.sent() > sentAtLastPassing) {
                sentAtLastPassing = bytes.sent();
                unwritten.progressed();
            }
            // A caller that leaves its part unread also keeps its endpoint busy, so it goes with whole unread
            // responses.
            unwritten.set(queued);
        }
    }

    /** Starts to watch whether the caller takes its response, unless it has taken all of it. */
    private void checkProgress() {
        if (progressCheck.isEmpty() && unsentBytes() > 0 && channel.isActive()) {
            recordProgress();
            progressAt = forwarder.now();
            scheduleProgressCheck();
        }
    }

    private void scheduleProgressCheck() {
        progressCheck = Optional.of(channel.eventLoop()
                .schedule(this::disconnectIfStalled, PROGRESS_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS));
    }

    private void recordProgress() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        // Includes the part of a large buffer that the socket has taken.
        long taken = bytes.sent() + (buffer == null ? 0 : buffer.currentProgress());
        if (taken != takenAtLastProgress) {
            takenAtLastProgress = taken;
            progressAt = forwarder.now();
            output.progressed();
        }
    }

    private void disconnectIfStalled() {
        progressCheck = Optional.empty();
        if (!channel.isActive()) {
            return;
        }
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            // The kernel reports a socket as writable only when a third of its buffer is free, which takes a caller
            // that reads slowly too long.
            unsafe.forceFlush();
        }
        if (unsentBytes() == 0) {
            return;
        }
        recordProgress();
        boolean scarce = forwarder.memory().isScarce(ConnectionMemoryBudget.Kind.OUTPUT)
                || body.isReadable() && forwarder.memory().isScarce(ConnectionMemoryBudget.Kind.RESPONSE);
        Duration limit = StalledCallerPolicy.limit(current.isPresent() && !channel.isWritable(), scarce);
        if (progressAt.plus(limit).isAfter(forwarder.now())) {
            scheduleProgressCheck();
        } else {
            disconnectUnread(DisconnectCause.STALLED);
        }
    }

    private void disconnectUnread(DisconnectCause cause) {
        if (disconnected || !channel.isActive()) {
            return;
        }
        disconnected = true;
        closing = true;
        closedByHost = true;
        forwarder.log(DecisionRecord.of(
                "caller-disconnected",
                "caller",
                String.valueOf(channel.remoteAddress()),
                "cause",
                cause,
                "unsent-bytes",
                unsentBytes(),
                "no-progress-ms",
                progressAt.equals(Instant.MIN)
                        ? 0
                        : Duration.between(progressAt, forwarder.now()).toMillis()));
        // Otherwise the kernel keeps what it has taken until the caller acknowledges it.
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        // Scheduled, because the connection may be in the middle of a write.
        channel.eventLoop().execute(channel::close);
    }

    private void startTimer(Duration limit) {
        stopTimer();
        timer = Optional.of(channel.eventLoop().schedule(this::onTimeout, limit.toMillis(), TimeUnit.MILLISECONDS));
    }

    private void stopTimer() {
        timer.ifPresent(future -> future.cancel(false));
        timer = Optional.empty();
    }

    private void onTimeout() {
        // A request may have arrived while this thread did not run; the event loop reads it before its next task.
        timer = Optional.of(channel.eventLoop().schedule(this::endIdle, 1, TimeUnit.MILLISECONDS));
    }

    private void endIdle() {
        if (current.isPresent() || reader.pendingCount() > 0 || !channel.isActive()) {
            // Restarted when the requests before have been answered.
            return;
        }
        if (unsentBytes() > 0) {
            // Ended by the check of its progress if the caller has stopped reading.
            startTimer(forwarder.limits().idleTimeout());
            return;
        }
        if (reader.isReadingBody()) {
            reader.reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time");
            processNext();
        } else {
            closing = true;
            closeLingering();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        current.ifPresent(exchange -> exchange.setWritable(channel.isWritable()));
        if (!channel.isWritable()) {
            return;
        }
        if (body.isReadable()) {
            writeBody();
        } else if (reader.pendingCount() > 0) {
            channel.eventLoop().execute(this::processNext);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        stopTimer();
        forwarder.closed(this);
        logUndelivered(closedByHost ? UndeliveredResponse.EndedBy.HOST : UndeliveredResponse.EndedBy.CALLER);
        deliveries.clear();
        closing = true;
        reader.close();
        passingThrough = false;
        releaseBody();
        output.set(0);
        progressCheck.ifPresent(check -> check.cancel(false));
        current.ifPresent(CallerExchange::onCallerDisconnect);
        current = Optional.empty();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            Logger.debug("connection of caller {} failed: {}", context.channel().remoteAddress(), cause.toString());
        } else {
            closedByHost = true;
            Logger.warn(
                    cause, "closing connection of caller {}", context.channel().remoteAddress());
        }
        context.close();
    }
}
