package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

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
import org.banyanstair.forwarding.FailureReason;
import org.banyanstair.forwarding.ForwardingEffect;
import org.banyanstair.forwarding.ForwardingEvent;

/**
 * A request of a caller, the attempt that runs for it and the answer as far as it came.
 *
 * <p>Used on the thread of the connections only.
 */
public final class CallerExchange {
    /** Longest answer of a call that is kept until it is whole. */
    private static final int ANSWER_BYTES = 16 << 20;

    /** Most bytes of a stream without a new event; an event holds a few tokens, and a thousand times as much fits. */
    private static final int EVENT_BYTES = 256 << 10;

    /** Memory and time that an event takes beside its bytes, counted as bytes. */
    private static final int EVENT_OVERHEAD_BYTES = 256;

    private final long number;
    private final String requestId;
    private final FullHttpRequest request;
    private final CallerConnection connection;
    private final ForwarderContext shell;
    private Optional<Attempt> current = Optional.empty();
    private boolean headWritten;
    private boolean over;
    private final StreamPosition position = new StreamPosition();
    private final Instant arrivedAt;
    private Optional<Instant> lastOutputAt = Optional.empty();
    private Duration longestPause = Duration.ZERO;

    CallerExchange(
            long number,
            String requestId,
            FullHttpRequest request,
            CallerConnection connection,
            ForwarderContext shell) {
        this.number = number;
        this.requestId = requestId;
        this.request = request;
        this.connection = connection;
        this.shell = shell;
        this.arrivedAt = shell.now();
    }

    /**
     * Returns the number of the request.
     *
     * @return the number that this host gave to it
     */
    public long number() {
        return number;
    }

    /**
     * Sends the request to an endpoint.
     *
     * @param send how
     */
    public void send(ForwardingEffect.Send send) {
        if (current.isEmpty()) {
            shell.metrics().sent(Duration.between(arrivedAt, shell.now()));
        }
        current.ifPresent(Attempt::cancel);
        Attempt attempt = new Attempt(send);
        current = Optional.of(attempt);
        FullHttpRequest outgoing = endpoints().forward(request, send, shell.now());
        attempt.call = shell.connections().call(send.address(), outgoing, attempt);
        attempt.call.setReading(connection.isWritable());
    }

    /** Gives the answer of the attempt to the caller. */
    public void deliver() {
        Attempt attempt = current.orElseThrow();
        if (attempt.splitter.isPresent()) {
            writeHead(attempt);
            connection.write(new DefaultHttpContent(attempt.splitter.get().rest()));
            finish();
            connection.finish(LastHttpContent.EMPTY_LAST_CONTENT, false);
        } else {
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, attempt.head.status(), attempt.body);
            countOutput();
            callers().copyAnswerHeaders(attempt.head.headers(), answer.headers());
            HttpUtil.setContentLength(answer, attempt.body.readableBytes());
            attempt.body = Unpooled.EMPTY_BUFFER;
            attempt.noteMemory();
            finish();
            connection.finish(answer, false);
        }
    }

    /**
     * Refuses the request.
     *
     * @param refuse why
     */
    public void refuse(ForwardingEffect.Refuse refuse) {
        answer(callers().refusal(refuse.reason(), refuse.retryAfter()));
    }

    /**
     * Ends the request without an answer of an endpoint.
     *
     * @param reason why
     */
    public void fail(FailureReason reason) {
        answer(callers().failure(reason));
    }

    private void answer(FullHttpResponse response) {
        finish();
        if (headWritten) {
            response.release();
            connection.abort();
        } else {
            connection.finish(response, false);
        }
    }

    /** Ends the attempt at the endpoint. */
    public void cancelAttempt() {
        current.ifPresent(Attempt::cancel);
        current = Optional.empty();
    }

    /** The caller has gone. */
    void callerLeft() {
        if (!over) {
            shell.submit(new ForwardingEvent.CallerDisconnected(number));
            finish();
        }
    }

    /** The caller reads slowly, or again. */
    void setWritable(boolean writable) {
        current.ifPresent(attempt -> attempt.call.setReading(writable));
    }

    private void finish() {
        if (!over) {
            over = true;
            current.ifPresent(Attempt::cancel);
            shell.forget(number);
            request.release();
        }
    }

    private CallerProtocol callers() {
        return shell.protocols().callers();
    }

    private EndpointProtocol endpoints() {
        return shell.protocols().endpoints();
    }

    private void writeHead(Attempt attempt) {
        if (!headWritten) {
            headWritten = true;
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, attempt.head.status());
            callers().copyAnswerHeaders(attempt.head.headers(), head.headers());
            connection.writeHead(head);
        }
    }

    private void countOutput() {
        Instant now = shell.now();
        if (lastOutputAt.isPresent()) {
            Duration pause = Duration.between(lastOutputAt.get(), now);
            shell.metrics().output(pause);
            longestPause = pause.compareTo(longestPause) > 0 ? pause : longestPause;
        } else {
            shell.metrics().firstOutput(Duration.between(arrivedAt, now));
        }
        lastOutputAt = Optional.of(now);
    }

    /** One attempt at an endpoint. */
    private final class Attempt implements ResponseListener, ResponseMemoryBudget.Holder {
        private final ForwardingEffect.Send send;
        private final StreamPosition.Run run;
        private EndpointCall call;
        private HttpResponse head;
        private ResponseKind kind;
        private Optional<EventSplitter> splitter = Optional.empty();
        private ByteBuf body = Unpooled.EMPTY_BUFFER;
        private long bytesSinceEvent;
        private boolean output;
        private boolean ended;

        Attempt(ForwardingEffect.Send send) {
            this.send = send;
            this.run = position.begin(send.resumeAfter());
        }

        @Override
        public void head(HttpResponse response) {
            kind = endpoints().classify(response, requestId);
            if (kind == ResponseKind.INVALID) {
                breakOff(ResponseFault.INVALID_HEAD);
                return;
            }
            if (kind != ResponseKind.ANSWER) {
                return;
            }
            boolean stream = response.status().code() == 200
                    && response.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith("text/event-stream");
            if (headWritten && !stream) {
                // What is no event must not end up between the events that the caller already has.
                breakOff(AttemptResult.BrokenCause.NOT_A_STREAM);
                return;
            }
            head = response;
            if (stream) {
                splitter = Optional.of(new EventSplitter());
            } else {
                body = Unpooled.buffer();
            }
        }

        @Override
        public void content(ByteBuf bytes) {
            if (kind != ResponseKind.ANSWER) {
                return;
            }
            if (!output) {
                output = true;
                shell.submit(new ForwardingEvent.FirstOutput(number, send.attempt()));
            }
            if (splitter.isEmpty()) {
                if (body.readableBytes() + bytes.readableBytes() > ANSWER_BYTES) {
                    breakOff(ResponseFault.LONG_BODY);
                } else {
                    body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
                    noteMemory();
                }
                return;
            }
            countOutput();
            bytesSinceEvent += bytes.readableBytes();
            for (EventSplitter.StreamEvent event : splitter.orElseThrow().feed(bytes)) {
                pass(event);
            }
            connection.flush();
            if (!ended && splitter.orElseThrow().pendingBytes() > EVENT_BYTES) {
                breakOff(ResponseFault.LONG_EVENT);
            } else {
                endWithoutNewEvent();
                noteMemory();
            }
        }

        private void endWithoutNewEvent() {
            if (!ended && bytesSinceEvent > EVENT_BYTES) {
                breakOff(ResponseFault.NO_NEW_EVENT);
            }
        }

        private void pass(EventSplitter.StreamEvent event) {
            StreamPosition.Step step = ended ? StreamPosition.Step.REPEATED : run.advance(event);
            boolean isNew = step == StreamPosition.Step.NEXT && event.id().isPresent();
            bytesSinceEvent = isNew ? 0 : bytesSinceEvent + EVENT_OVERHEAD_BYTES;
            endWithoutNewEvent();
            if (step == StreamPosition.Step.NEXT && !ended) {
                writeHead(this);
                connection.write(new DefaultHttpContent(event.bytes()));
                return;
            }
            event.bytes().release();
            if (step == StreamPosition.Step.GAP) {
                breakOff(AttemptResult.BrokenCause.EVENT_GAP);
            } else if (step == StreamPosition.Step.UNPLACED) {
                breakOff(AttemptResult.BrokenCause.UNKNOWN_POSITION);
            }
        }

        @Override
        public boolean isForeign() {
            return kind == ResponseKind.FOREIGN;
        }

        @Override
        public boolean usesBody() {
            return kind == ResponseKind.ANSWER;
        }

        @Override
        public void rejected(ResponseFault fault) {
            end(broken(fault.cause()));
        }

        @Override
        public void evict() {
            breakOff(ResponseFault.MEMORY);
        }

        private static boolean isDelimited(HttpResponse response) {
            return HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        }

        private void noteMemory() {
            int pending = splitter.map(EventSplitter::pendingBytes).orElse(0);
            shell.connections().memory().resize(this, body.readableBytes() + pending);
        }

        @Override
        public void end() {
            if (kind == ResponseKind.ANSWER) {
                Optional<AttemptResult.BrokenCause> fault =
                        splitter.flatMap(events -> run.faultAtEnd(events.isWithinEvent(), isDelimited(head)));
                end(fault.<AttemptResult>map(this::broken)
                        .orElseGet(
                                () -> new AttemptResult.Answered(head.status().code(), longestPause)));
            } else {
                end(new AttemptResult.NotRun(
                        kind == ResponseKind.FULL
                                ? AttemptResult.NotRunCause.FULL
                                : AttemptResult.NotRunCause.NOT_HERE));
            }
        }

        @Override
        public void failed(boolean mayHaveRun) {
            boolean rejected = kind == ResponseKind.FULL || kind == ResponseKind.NOT_HERE;
            if (rejected) {
                end();
            } else if (mayHaveRun) {
                end(broken(AttemptResult.BrokenCause.CONNECTION_LOST));
            } else {
                end(new AttemptResult.NotRun(AttemptResult.NotRunCause.NOT_CONNECTED));
            }
        }

        private void breakOff(ResponseFault fault) {
            shell.connections().reject(send.address(), fault);
            breakOff(fault.cause());
        }

        /** Ends the attempt on account of what the endpoint sent. */
        private void breakOff(AttemptResult.BrokenCause cause) {
            cancel();
            end(broken(cause));
        }

        private AttemptResult broken(AttemptResult.BrokenCause cause) {
            splitter.ifPresent(EventSplitter::clear);
            return new AttemptResult.Broken(cause, headWritten, position.resumeAfter());
        }

        private void end(AttemptResult result) {
            if (!ended) {
                ended = true;
                shell.submit(new ForwardingEvent.AttemptEnded(number, send.attempt(), result));
            }
        }

        private void cancel() {
            ended = ended || over;
            if (call != null) {
                call.cancel();
            }
            body.release();
            body = Unpooled.EMPTY_BUFFER;
            splitter.ifPresent(EventSplitter::clear);
            noteMemory();
        }
    }
}
