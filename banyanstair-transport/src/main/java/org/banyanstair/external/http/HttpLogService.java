package org.banyanstair.external.http;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.banyanstair.codec.Mappers;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.AppendResult;
import org.banyanstair.external.LogRecord;
import org.banyanstair.external.LogService;
import org.banyanstair.external.ReadResult;
import org.banyanstair.model.NetworkAddress;
import org.tinylog.Logger;

/**
 * Client of the log service over HTTP; {@code docs/protocols.md} describes the protocol.
 *
 * <p>Safe for use by several threads. Futures complete on threads of the client, so dependent stages must not block.
 */
public final class HttpLogService implements LogService {
    private static final int MAXIMUM_CONCURRENT_APPENDS = 32;

    /** A host follows about a dozen streams with one long poll each; the rest is room for short reads. */
    private static final int MAXIMUM_CONCURRENT_READS = 64;

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int OK = 200;
    private static final int GONE = 410;

    private final HttpUrl streamsUrl;
    private final Duration callTimeout;
    private final InstantSource clock;
    // Long polls occupy their places for their whole wait, so appends have a client of their own.
    private final DeadlineHttpClient appends = new DeadlineHttpClient(MAXIMUM_CONCURRENT_APPENDS);
    private final DeadlineHttpClient reads = new DeadlineHttpClient(MAXIMUM_CONCURRENT_READS);

    /**
     * Creates a client.
     *
     * @param address where the log service listens
     * @param callTimeout time after which a call is given up; a read may also take the time that it waits for records
     */
    public HttpLogService(NetworkAddress address, Duration callTimeout) {
        this(address, callTimeout, Clock.systemUTC());
    }

    /**
     * Creates a client with a clock.
     *
     * @param address where the log service listens
     * @param callTimeout time after which a call is given up; a read may also take the time that it waits for records
     * @param clock clock that the instants given to {@link #read} refer to
     */
    public HttpLogService(NetworkAddress address, Duration callTimeout, InstantSource clock) {
        streamsUrl = HttpUrl.get("http://" + address + "/streams");
        this.callTimeout = callTimeout;
        this.clock = clock;
    }

    /** Cancels the calls in progress and releases threads and connections. Later calls fail. */
    public void stop() {
        appends.stop();
        reads.stop();
    }

    @Override
    public CompletableFuture<AppendResult> append(String stream, List<byte[]> records) {
        if (records.isEmpty()) {
            throw new IllegalArgumentException("records must not be empty");
        }
        Request.Builder request =
                new Request.Builder().url(records(stream).build()).post(new OneShotBody(json(records)));
        return appends.call(request, callTimeout).thenApply(result -> appendResult(stream, result));
    }

    @Override
    public CompletableFuture<ReadResult> read(String stream, long fromOffset, int limit, Instant waitUntil) {
        HttpUrl url = records(stream)
                .addQueryParameter("from", Long.toString(fromOffset))
                .addQueryParameter("limit", Integer.toString(limit))
                .addQueryParameter("waitUntil", waitUntil.toString())
                .build();
        Duration wait = Duration.between(clock.instant(), waitUntil);
        Duration timeout = wait.isNegative() ? callTimeout : callTimeout.plus(wait);
        return reads.call(new Request.Builder().url(url), timeout)
                .thenApply(result -> readResult(stream, fromOffset, result));
    }

    private HttpUrl.Builder records(String stream) {
        return streamsUrl.newBuilder().addPathSegment(stream).addPathSegment("records");
    }

    private static byte[] json(List<byte[]> records) {
        try {
            return Mappers.JSON.writeValueAsBytes(new AppendRequest(records));
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException(exception);
        }
    }

    private static AppendResult appendResult(String stream, HttpCallResult result) {
        if (result instanceof HttpCallResult.Answered) {
            return appendResult(stream, (HttpCallResult.Answered) result);
        }
        Logger.debug("append to stream {} failed: {}", stream, result);
        return result instanceof HttpCallResult.NotSent
                ? new AppendResult.Rejected(new Failure.LogUnavailable(stream))
                : new AppendResult.Unknown(new Failure.OutcomeUnknown());
    }

    private static AppendResult appendResult(String stream, HttpCallResult.Answered answer) {
        if (answer.status() == OK) {
            try {
                byte[] body = answer.body().orElseThrow(() -> new IOException("the answer is cut off"));
                return new AppendResult.Appended(ResponseParser.JSON
                        .readValue(body, AppendResponse.class)
                        .firstOffset());
            } catch (IOException exception) {
                Logger.warn("append to stream {} has no usable answer: {}", stream, exception.getMessage());
                return new AppendResult.Unknown(new Failure.OutcomeUnknown());
            }
        }
        Logger.debug("append to stream {} was answered with status {}", stream, answer.status());
        boolean notApplied = answer.status() / 100 == 4 || answer.status() == SERVICE_UNAVAILABLE;
        return notApplied
                ? new AppendResult.Rejected(new Failure.LogUnavailable(stream))
                : new AppendResult.Unknown(new Failure.OutcomeUnknown());
    }

    private static ReadResult readResult(String stream, long from, HttpCallResult result) {
        try {
            if (result instanceof HttpCallResult.Answered) {
                HttpCallResult.Answered answer = (HttpCallResult.Answered) result;
                byte[] body = answer.body().orElseThrow(() -> new IOException("the answer is cut off"));
                if (answer.status() == OK) {
                    return requireConsecutive(from, ResponseParser.JSON.readValue(body, ReadResult.Records.class));
                }
                if (answer.status() == GONE) {
                    return ResponseParser.JSON.readValue(body, ReadResult.Expired.class);
                }
            }
            Logger.debug("read of stream {} failed: {}", stream, result);
        } catch (IOException exception) {
            Logger.warn("read of stream {} has no usable answer: {}", stream, exception.getMessage());
        }
        return new ReadResult.Unavailable(new Failure.LogUnavailable(stream));
    }

    /** Callers apply records in order of their offsets, so an answer with a gap must not reach them. */
    private static ReadResult requireConsecutive(long from, ReadResult.Records read) throws IOException {
        long expected = from;
        for (LogRecord record : read.records()) {
            if (record.offset() != expected) {
                throw new IOException("offset " + record.offset() + " instead of " + expected);
            }
            expected++;
        }
        if (read.next() != expected) {
            throw new IOException("next offset " + read.next() + " instead of " + expected);
        }
        return read;
    }

    private record AppendRequest(List<byte[]> records) {}

    private record AppendResponse(long firstOffset) {}
}
