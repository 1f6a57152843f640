package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.banyanstair.forwarder.CallerProtocol;
import org.banyanstair.forwarder.EndpointProtocol;
import org.banyanstair.forwarder.ResponseKind;
import org.banyanstair.forwarding.AttemptResult;
import org.banyanstair.forwarding.DecisionRecord;
import org.banyanstair.forwarding.FailureReason;
import org.banyanstair.forwarding.ForwardingEffect;
import org.banyanstair.forwarding.ForwardingEvent;

/**
 * A caller's request, the current attempt at an endpoint, and the response as far as it was forwarded.
 *
 * <p>Used on the event loop thread only.
 */
public final class CallerExchange {
    /** Maximum body of a buffered response, that is, one that is no event stream. */
    private static final int MAXIMUM_RESPONSE_BYTES = 16 << 20;

    /** Body up to which a response is always buffered, since passing it through takes as much at the socket. */
    private static final int SMALL_RESPONSE_BYTES = 64 << 10;

    /**
     * Maximum bytes of a stream without a new event; an event holds a few tokens, and a thousand times as much fits.
     */
    private static final int MAXIMUM_EVENT_BYTES = 256 << 10;

    /** Memory and processing time of an event besides its bytes, expressed in bytes. */
    private static final int EVENT_OVERHEAD_BYTES = 256;

    private final long number;
    private final String requestId;
    private final FullHttpRequest request;
    private final CallerConnection connection;
    private final ForwarderContext forwarder;
    private final Set<EndpointConnection> usedConnections = new HashSet<>();
    private Optional<Attempt> current = Optional.empty();
    private boolean headWritten;
    private boolean finished;
    private final StreamPosition position = new StreamPosition();
    private final Instant arrivedAt;
    private Optional<Instant> lastOutputAt = Optional.empty();
    private Duration longestPause = Duration.ZERO;

    CallerExchange(
            long number,
            String requestId,
            FullHttpRequest request,
            Instant arrivedAt,
            CallerConnection connection,
            ForwarderContext forwarder) {
        this.number = number;
        this.requestId = requestId;
        this.request = request;
        this.connection = connection;
        this.forwarder = forwarder;
        this.arrivedAt = arrivedAt;
    }

    /** Returns the number that this host assigned to the exchange. */
    public long number() {
        return number;
    }

    /** Sends the request to an endpoint and cancels the current attempt. */
    public void send(ForwardingEffect.Send send) {
        if (current.isEmpty()) {
            forwarder.metrics().recordQueueTime(Duration.between(arrivedAt, forwarder.now()));
        }
        current.ifPresent(Attempt::cancel);
        Attempt attempt = new Attempt(send);
        current = Optional.of(attempt);
        if (forwarder.connections().backlog().isFull(send.address())) {
            // Scheduled, because the reducer does not expect the result of an effect before the effects after it.
            forwarder
                    .connections()
                    .loop()
                    .execute(() -> attempt.finishAttempt(new AttemptResult.NotRun(AttemptResult.NotRunCause.BACKLOG)));
            return;
        }
        attempt.call = send.started().isPresent()
                ? sendToProcess(send, send.started().getAsLong(), attempt)
                : forwarder
                        .connections()
                        .send(
                                send.address(),
                                endpoints().createRequest(request, send, forwarder.now()),
                                attempt,
                                usedConnections);
        attempt.setReading(connection.isWritable());
    }

    private EndpointCall sendToProcess(ForwardingEffect.Send send, long started, Attempt attempt) {
        return new ProcessCheckedCall(
                        forwarder.connections(),
                        endpoints(),
                        new ProcessCheckedCall.Target(send.endpoint(), send.address(), started),
                        () -> endpoints().createRequest(request, send, forwarder.now()),
                        attempt,
                        usedConnections,
                        () -> forwarder.metrics().timeRunnerCall("identify", forwarder::now, response -> {}))
                .send();
    }

    /** Sends the response of the completed attempt to the caller. */
    public void deliver() {
        Attempt attempt = current.orElseThrow();
        if (attempt.passingThrough) {
            finish();
            connection.finish(LastHttpContent.EMPTY_LAST_CONTENT, false);
        } else if (attempt.splitter.isPresent()) {
            writeHead(attempt);
            connection.write(new DefaultHttpContent(attempt.splitter.get().takeRemainder()));
            finish();
            connection.finish(LastHttpContent.EMPTY_LAST_CONTENT, false);
        } else {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, attempt.head.status(), attempt.body);
            recordOutput();
            callers().copyResponseHeaders(attempt.head.headers(), response.headers());
            HttpUtil.setContentLength(response, attempt.body.readableBytes());
            attempt.body = Unpooled.EMPTY_BUFFER;
            attempt.memory.release();
            finish();
            connection.finish(response, false);
        }
    }

    /** Answers with a refusal; the request has not run. */
    public void refuse(ForwardingEffect.Refuse refuse) {
        sendFinalResponse(callers().refusalResponse(refuse.reason(), refuse.retryAfter()));
    }

    /** Answers with an error, because no endpoint produced a usable response. */
    public void fail(FailureReason reason) {
        sendFinalResponse(callers().failureResponse(reason));
    }

    private void sendFinalResponse(FullHttpResponse response) {
        finish();
        if (headWritten) {
            response.release();
            connection.abort();
        } else {
            connection.finish(response, false);
        }
    }

    /** Cancels the attempt in flight. */
    public void cancelAttempt() {
        current.ifPresent(Attempt::cancel);
        current = Optional.empty();
    }

    /** Ends the exchange after the caller has disconnected. */
    void onCallerDisconnect() {
        if (!finished) {
            forwarder.submit(new ForwardingEvent.CallerDisconnected(number));
            finish();
        }
    }

    /** Applies backpressure: reads from the endpoint only while the caller keeps up. */
    void setWritable(boolean writable) {
        current.ifPresent(attempt -> attempt.setReading(writable));
    }

    private void finish() {
        if (!finished) {
            finished = true;
            current.ifPresent(Attempt::cancel);
            forwarder.unregister(number);
            request.release();
        }
    }

    private CallerProtocol callers() {
        return forwarder.protocols().callers();
    }

    private EndpointProtocol endpoints() {
        return forwarder.protocols().endpoints();
    }

    private void writeHead(Attempt attempt) {
        if (!headWritten) {
            headWritten = true;
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, attempt.head.status());
            callers().copyResponseHeaders(attempt.head.headers(), head.headers());
            connection.writeHead(head);
        }
    }

    private void recordOutput() {
        Instant now = forwarder.now();
        if (lastOutputAt.isPresent()) {
            Duration pause = Duration.between(lastOutputAt.get(), now);
            forwarder.metrics().recordOutputGap(pause);
            longestPause = pause.compareTo(longestPause) > 0 ? pause : longestPause;
        } else {
            forwarder.metrics().recordFirstOutput(Duration.between(arrivedAt, now));
        }
        lastOutputAt = Optional.of(now);
    }

    /** One attempt at an endpoint. */
    private final class Attempt implements ResponseListener {
        private final ForwardingEffect.Send send;
        private final StreamPosition.Run run;
        private final Instant sentAt = forwarder.now();
        private final ReadPauses readPauses = new ReadPauses();
        private final ConnectionMemoryBudget.Account memory =
                forwarder.memory().open(ConnectionMemoryBudget.Kind.RESPONSE, this::evict);
        private EndpointCall call;
        private HttpResponse head;
        private ResponseKind kind;
        private Optional<ResponseKind> ambiguousRejection = Optional.empty();
        private Optional<EventSplitter> splitter = Optional.empty();
        private ByteBuf body = Unpooled.EMPTY_BUFFER;
        private long bytesSinceNewEvent;
        private boolean identified;
        private boolean hasOutput;
        private boolean passingThrough;
        private boolean ended;

        Attempt(ForwardingEffect.Send send) {
            this.send = send;
            this.run = position.startRun(send.resumeAfter());
        }

        private void setReading(boolean reading) {
            if (call != null) {
                readPauses.update(reading, forwarder.now());
                call.setAutoRead(reading);
            }
        }

        @Override
        public boolean awaitsResponse() {
            return forwarder.nextRead().isBefore(send.sendBefore());
        }

        @Override
        public void onExpired() {
            finishAttempt(new AttemptResult.NotRun(AttemptResult.NotRunCause.EXPIRED));
        }

        @Override
        public void onOtherProcess() {
            finishAttempt(new AttemptResult.NotRun(AttemptResult.NotRunCause.OTHER_PROCESS));
        }

        @Override
        public void onHead(HttpResponse response) {
            identified = endpoints().identifiesRequest(response);
            kind = resolve(response);
            if (kind == ResponseKind.INVALID) {
                abort(ResponseFault.INVALID_HEAD);
                return;
            }
            if (kind != ResponseKind.FOREIGN) {
                endpoints()
                        .parseNotice(response, send.endpoint(), forwarder.now())
                        .filter(notice -> !notice.isEmpty() || forwarder.isLimited(send.endpoint()))
                        .ifPresent(notice -> forwarder.submit(
                                new ForwardingEvent.EndpointNoticeReceived(send.endpoint(), sentAt, notice)));
            }
            if (kind != ResponseKind.ANSWER) {
                return;
            }
            boolean stream = response.status().code() == 200
                    && response.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith("text/event-stream");
            if (headWritten && !stream) {
                // Anything but events would corrupt the stream of which the caller already has a part.
                abort(AttemptResult.BrokenCause.NOT_A_STREAM);
                return;
            }
            head = response;
            if (stream) {
                splitter = Optional.of(new EventSplitter());
            } else if (mayPassThrough(response) && !memory.reserve(HttpUtil.getContentLength(response, 0L))) {
                passThrough();
            } else {
                body = Unpooled.buffer();
            }
        }

        /** Only an answer that would not be retried, whose length tells the caller whether it is whole. */
        private boolean mayPassThrough(HttpResponse response) {
            long length = HttpUtil.isTransferEncodingChunked(response) ? -1 : HttpUtil.getContentLength(response, -1L);
            return response.status().code() == 200
                    && !connection.isHeadOnly()
                    && length > SMALL_RESPONSE_BYTES
                    && length <= MAXIMUM_RESPONSE_BYTES;
        }

        /** Sends the response on as it arrives, because there is no memory to buffer it. */
        private void passThrough() {
            passingThrough = true;
            headWritten = true;
            recordOutput();
            long length = HttpUtil.getContentLength(head, 0L);
            forwarder.log(DecisionRecord.of(
                    "answer-passed-through",
                    "request",
                    requestId,
                    "body-bytes",
                    length,
                    "held-bytes",
                    forwarder.memory().heldBytes(ConnectionMemoryBudget.Kind.RESPONSE)));
            HttpResponse passed = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
            callers().copyResponseHeaders(head.headers(), passed.headers());
            HttpUtil.setContentLength(passed, length);
            connection.writeSizedHead(passed);
        }

        /**
         * Classifies a response, and skips a rejection that may not be the response to this attempt: one that does not
         * name its request, or that repeats one of an earlier attempt. The response to a request that is sent after this
         * one on the same connection then shows whether the rejection was: if so, no other response to this attempt comes
         * before it. On a connection that was asked for its process, a late copy of that answer could be taken for it.
         */
        private ResponseKind resolve(HttpResponse response) {
            if (call.isProcessChecked() && endpoints().isProbeResponse(response)) {
                return ResponseKind.FOREIGN;
            }
            if (ambiguousRejection.isPresent() && endpoints().isProbeResponse(response)) {
                return ambiguousRejection.get();
            }
            ResponseKind received = endpoints().classify(response, requestId);
            boolean rejection = received == ResponseKind.FULL || received == ResponseKind.NOT_HERE;
            boolean unattributed = !identified && call.isConnectionReused();
            if (rejection && (unattributed || call.isRepeated()) && !call.isProcessChecked()) {
                if (ambiguousRejection.isEmpty()) {
                    ambiguousRejection = Optional.of(received);
                    forwarder.connections().reportRejected(send.address(), ResponseFault.AMBIGUOUS);
                    call.pipeline(endpoints().orderingProbe(send.address()));
                }
                return ResponseKind.FOREIGN;
            }
            return unattributed ? ResponseKind.INVALID : received;
        }

        @Override
        public void onContent(ByteBuf bytes) {
            if (kind != ResponseKind.ANSWER) {
                return;
            }
            if (!hasOutput) {
                hasOutput = true;
                forwarder.submit(new ForwardingEvent.FirstOutput(number, send.attempt()));
            }
            if (passingThrough) {
                connection.write(new DefaultHttpContent(Unpooled.copiedBuffer(bytes)));
                connection.flush();
                return;
            }
            if (splitter.isEmpty()) {
                if (body.readableBytes() + bytes.readableBytes() > MAXIMUM_RESPONSE_BYTES) {
                    abort(ResponseFault.LONG_BODY);
                } else {
                    body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
                    updateMemoryUsage();
                }
                return;
            }
            recordOutput();
            bytesSinceNewEvent += bytes.readableBytes();
            for (EventSplitter.StreamEvent event : splitter.orElseThrow().feed(bytes)) {
                forwardEvent(event);
            }
            connection.flush();
            if (!ended && splitter.orElseThrow().pendingBytes() > MAXIMUM_EVENT_BYTES) {
                abort(ResponseFault.LONG_EVENT);
            } else {
                abortIfNoNewEvent();
                updateMemoryUsage();
            }
        }

        private void abortIfNoNewEvent() {
            if (!ended && bytesSinceNewEvent > MAXIMUM_EVENT_BYTES) {
                abort(ResponseFault.NO_NEW_EVENT);
            }
        }

        private void forwardEvent(EventSplitter.StreamEvent event) {
            StreamPosition.EventOrder order = ended ? StreamPosition.EventOrder.REPEATED : run.advance(event);
            boolean isNew =
                    order == StreamPosition.EventOrder.NEXT && event.id().isPresent();
            bytesSinceNewEvent = isNew ? 0 : bytesSinceNewEvent + EVENT_OVERHEAD_BYTES;
            abortIfNoNewEvent();
            if (order == StreamPosition.EventOrder.NEXT && !ended) {
                writeHead(this);
                connection.write(new DefaultHttpContent(event.bytes()));
                return;
            }
            event.bytes().release();
            if (order == StreamPosition.EventOrder.GAP) {
                abort(AttemptResult.BrokenCause.EVENT_GAP);
            } else if (order == StreamPosition.EventOrder.UNPLACED) {
                abort(AttemptResult.BrokenCause.UNKNOWN_POSITION);
            }
        }

        @Override
        public boolean identifiesRequest() {
            return identified;
        }

        @Override
        public boolean isForeign() {
            return kind == ResponseKind.FOREIGN;
        }

        @Override
        public boolean expectsBody() {
            return kind == ResponseKind.ANSWER;
        }

        @Override
        public void onRejected(ResponseFault fault) {
            finishAttempt(brokenResult(fault.cause()));
        }

        private void evict() {
            if (forwarder.memory().holdsUnread(ConnectionMemoryBudget.Kind.RESPONSE)) {
                // The endpoint is not to blame for memory that other callers use up by not reading.
                abort(AttemptResult.BrokenCause.HOST_MEMORY);
            } else {
                abort(ResponseFault.MEMORY);
            }
        }

        private static boolean isSelfDelimited(HttpResponse response) {
            return HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        }

        private void updateMemoryUsage() {
            int pending = splitter.map(EventSplitter::pendingBytes).orElse(0);
            memory.progressed();
            memory.set(body.readableBytes() + pending);
        }

        @Override
        public void onComplete() {
            if (kind == ResponseKind.ANSWER) {
                Optional<AttemptResult.BrokenCause> fault = splitter.flatMap(
                        events -> run.findCompletionFault(events.hasPartialEvent(), isSelfDelimited(head)));
                finishAttempt(fault.<AttemptResult>map(this::brokenResult)
                        .orElseGet(
                                () -> new AttemptResult.Answered(head.status().code(), longestPause)));
            } else {
                finishAttempt(new AttemptResult.NotRun(
                        kind == ResponseKind.FULL
                                ? AttemptResult.NotRunCause.FULL
                                : AttemptResult.NotRunCause.NOT_HERE));
            }
        }

        @Override
        public void onFailure(boolean mayHaveRun) {
            boolean rejected = kind == ResponseKind.FULL || kind == ResponseKind.NOT_HERE;
            if (rejected) {
                onComplete();
            } else if (mayHaveRun) {
                finishAttempt(brokenResult(
                        readPauses.excuseEndpoint(forwarder.now())
                                ? AttemptResult.BrokenCause.CALLER_STALLED
                                : AttemptResult.BrokenCause.CONNECTION_LOST));
            } else {
                finishAttempt(new AttemptResult.NotRun(AttemptResult.NotRunCause.NOT_CONNECTED));
            }
        }

        @Override
        public void onConnectionRefused() {
            finishAttempt(new AttemptResult.NotRun(AttemptResult.NotRunCause.REFUSED));
        }

        private void abort(ResponseFault fault) {
            forwarder.connections().reportRejected(send.address(), fault);
            abort(fault.cause());
        }

        /** Cancels the attempt because of what the endpoint sent. */
        private void abort(AttemptResult.BrokenCause cause) {
            cancel();
            finishAttempt(brokenResult(cause));
        }

        private AttemptResult brokenResult(AttemptResult.BrokenCause cause) {
            splitter.ifPresent(EventSplitter::discardPartialEvent);
            return new AttemptResult.Broken(cause, headWritten, position.resumeAfter());
        }

        private void finishAttempt(AttemptResult result) {
            if (!ended) {
                ended = true;
                forwarder.submit(new ForwardingEvent.AttemptEnded(number, send.attempt(), result));
            }
        }

        private void cancel() {
            ended = ended || finished;
            if (call != null) {
                call.cancel();
            }
            body.release();
            body = Unpooled.EMPTY_BUFFER;
            splitter.ifPresent(EventSplitter::discardPartialEvent);
            memory.release();
        }
    }
}
