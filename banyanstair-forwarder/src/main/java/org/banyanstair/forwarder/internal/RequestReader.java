package org.banyanstair.forwarder.internal;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.banyanstair.forwarding.RequestLimits;
import org.tinylog.Logger;

/**
 * Assembles the requests of a connection and keeps them in order until their turn.
 *
 * <p>Used on the event loop thread only.
 */
final class RequestReader {
    private final Supplier<RequestLimits> limits;
    private final Supplier<Instant> arrivals;
    private final Deque<PendingRequest> pending = new ArrayDeque<>();
    private final ConnectionMemoryBudget budget;
    private final ConnectionMemoryBudget.Account upload;
    private final ConnectionMemoryBudget.Account complete;
    private long waitingBytes;
    private long servedBytes;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private boolean ended;

    /**
     * Creates a reader without requests.
     *
     * @param limits returns the limits in force
     * @param arrivals returns the earliest instant at which what is read may have arrived
     * @param budget bounds the bodies of all connections
     * @param uploadRefused called when the body that is being read is dropped in favour of others
     */
    RequestReader(
            Supplier<RequestLimits> limits,
            Supplier<Instant> arrivals,
            ConnectionMemoryBudget budget,
            Runnable uploadRefused) {
        this.limits = limits;
        this.arrivals = arrivals;
        this.budget = budget;
        this.upload = budget.open(ConnectionMemoryBudget.Kind.REQUEST, () -> {
            refuse(head);
            uploadRefused.run();
        });
        this.complete = budget.openProtected(ConnectionMemoryBudget.Kind.REQUEST);
    }

    /** Reads a part of a request; ignores it after {@link #end}. Does not release it. */
    void read(HttpObject part) {
        if (ended) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            rejectMalformed(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            startRequest(request);
        }
        if (part instanceof HttpContent content && head != null) {
            appendBody(content);
        }
    }

    private void rejectMalformed(Throwable cause) {
        Logger.info("rejecting a malformed request: {}", cause.getMessage());
        boolean tooLong = cause instanceof TooLongFrameException;
        reject(
                tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                tooLong ? "the headers are too long" : "the request is malformed");
    }

    private void startRequest(HttpRequest request) {
        boolean chunked = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        boolean ambiguousLength = chunked
                && (!HttpUtil.isTransferEncodingChunked(request)
                        || request.headers()
                                        .getAll(HttpHeaderNames.TRANSFER_ENCODING)
                                        .size()
                                > 1
                        || !request.headers()
                                .get(HttpHeaderNames.TRANSFER_ENCODING)
                                .trim()
                                .equalsIgnoreCase("chunked"));
        if (ambiguousLength || !request.protocolVersion().equals(HttpVersion.HTTP_1_1) && chunked) {
            reject(HttpResponseStatus.BAD_REQUEST, "the length of the body is in doubt");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.get().bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
            return;
        }
        if (!budget.fits(ConnectionMemoryBudget.Kind.REQUEST, HttpUtil.getContentLength(request, 0L))) {
            refuse(request);
            return;
        }
        head = request;
        body = Unpooled.buffer();
    }

    private void appendBody(HttpContent content) {
        ByteBuf bytes = content.content();
        if (body.readableBytes() + bytes.readableBytes() > limits.get().bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
            return;
        }
        upload.progressed();
        upload.set(body.readableBytes() + bytes.readableBytes());
        if (head == null) {
            // Refused, because no other connection holds more.
            return;
        }
        body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        if (content instanceof LastHttpContent) {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body);
            request.headers().set(head.headers());
            if (!HttpUtil.isKeepAlive(head)) {
                request.headers().add(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ended = true;
            }
            waitingBytes += body.readableBytes();
            head = null;
            body = Unpooled.EMPTY_BUFFER;
            upload.set(0);
            updateCompleteBytes();
            pending.addLast(new PendingRequest.Complete(request, arrivals.get()));
        }
    }

    /** Rejects the request that is being read, after the requests before it, and reads nothing more. */
    void reject(HttpResponseStatus status, String message) {
        end();
        pending.addLast(new PendingRequest.Rejected(status, message));
    }

    /** Refuses the request that is being read for want of memory, after the requests before it; it has not run. */
    private void refuse(HttpRequest request) {
        end();
        pending.addLast(new PendingRequest.Refused(request.headers()));
    }

    private void updateCompleteBytes() {
        complete.set(waitingBytes + servedBytes);
    }

    /** Returns the bytes of the requests whose turn has not come. */
    long waitingBytes() {
        return waitingBytes;
    }

    /** Records that the body of the request that was removed last is no longer held. */
    void requestEnded() {
        servedBytes = 0;
        updateCompleteBytes();
    }

    /** Reads nothing more and drops a request that was read in part. */
    void end() {
        ended = true;
        head = null;
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        upload.set(0);
    }

    /** Returns whether nothing more is read. */
    boolean isEnded() {
        return ended;
    }

    /** Returns whether the head of a request has been read, but not its whole body. */
    boolean isReadingBody() {
        return head != null;
    }

    /** Returns the number of requests whose turn has not come. */
    int pendingCount() {
        return pending.size();
    }

    /** Removes and returns the next request. */
    Optional<PendingRequest> poll() {
        Optional<PendingRequest> next = Optional.ofNullable(pending.pollFirst());
        if (next.orElse(null) instanceof PendingRequest.Complete request) {
            servedBytes = request.request().content().readableBytes();
            waitingBytes -= servedBytes;
        }
        return next;
    }

    /** Returns the requests that were read as a whole and whose turn has not come. */
    Stream<FullHttpRequest> completeRequests() {
        return pending.stream()
                .filter(PendingRequest.Complete.class::isInstance)
                .map(request -> ((PendingRequest.Complete) request).request());
    }

    /** Ends the reader and drops all requests. */
    void close() {
        end();
        completeRequests().forEach(FullHttpRequest::release);
        pending.clear();
        waitingBytes = 0;
        servedBytes = 0;
        updateCompleteBytes();
    }
}
