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
 * HTTP client of the log service; {@code docs/protocols.md} describes the protocol.
 *
 * <p>Thread-safe. Futures complete on threads of the client, so that dependent stages must not block.
 */
public final class HttpLogService implements LogService {
    private static final int MAXIMUM_CONCURRENT_APPENDS = 32;

    /** A host keeps one long poll open for each of about a dozen streams; the remaining slots are for short reads. */
    private static final int MAXIMUM_CONCURRENT_READS = 64;

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int OK = 200;
    private static final int GONE = 410;

    private final HttpUrl streamsUrl;
    private final Duration callTimeout;
    private final InstantSource clock;
    // Separate client, because a long poll occupies its slot for its whole wait and would block appends.
    private final DeadlineHttpClient appends = new DeadlineHttpClient(MAXIMUM_CONCURRENT_APPENDS);
    private final DeadlineHttpClient reads = new DeadlineHttpClient(MAXIMUM_CONCURRENT_READS);

    /**
     * Creates a client that uses the system clock.
     *
     * @param address address of the log service
     * @param callTimeout timeout of a call; the time that a read waits for records is added to it
     */
    public HttpLogService(NetworkAddress address, Duration callTimeout) {
        this(address, callTimeout, Clock.systemUTC());
    }

    /**
     * Creates a client.
     *
     * @param address address of the log service
     * @param callTimeout timeout of a call; the time that a read waits for records is added to it
     * @param clock clock that the instants passed to {@link #read} refer to
     */
    public HttpLogService(NetworkAddress address, Duration callTimeout, InstantSource clock) {
        streamsUrl = HttpUrl.get("http://" + address + "/streams");
        this.callTimeout = callTimeout;
        this.clock = clock;
    }

    /** Cancels calls in progress and releases threads and connections. Later calls fail. */
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

    private static AppendResult appendResult(String stream, HttpCallResult.Answered response) {
        if (response.status() == OK) {
            try {
                byte[] body = response.body().orElseThrow(() -> new IOException("truncated response body"));
                return new AppendResult.Appended(ResponseParser.JSON
                        .readValue(body, AppendResponse.class)
                        .firstOffset());
            } catch (IOException exception) {
                Logger.warn("append to stream {} got an invalid response: {}", stream, exception.getMessage());
                return new AppendResult.Unknown(new Failure.OutcomeUnknown());
            }
        }
        Logger.debug("append to stream {} failed with status {}", stream, response.status());
        boolean notApplied = response.status() / 100 == 4 || response.status() == SERVICE_UNAVAILABLE;
        return notApplied
                ? new AppendResult.Rejected(new Failure.LogUnavailable(stream))
                : new AppendResult.Unknown(new Failure.OutcomeUnknown());
    }

    private static ReadResult readResult(String stream, long from, HttpCallResult result) {
        try {
            if (result instanceof HttpCallResult.Answered) {
                HttpCallResult.Answered response = (HttpCallResult.Answered) result;
                byte[] body = response.body().orElseThrow(() -> new IOException("truncated response body"));
                if (response.status() == OK) {
                    return requireConsecutive(from, ResponseParser.JSON.readValue(body, ReadResult.Records.class));
                }
                if (response.status() == GONE) {
                    return ResponseParser.JSON.readValue(body, ReadResult.Expired.class);
                }
            }
            Logger.debug("read of stream {} failed: {}", stream, result);
        } catch (IOException exception) {
            Logger.warn("read of stream {} got an invalid response: {}", stream, exception.getMessage());
        }
        return new ReadResult.Unavailable(new Failure.LogUnavailable(stream));
    }

    /**
     * Verifies that the offsets are consecutive. Callers apply records in offset order, so that a response with a gap
     * must be rejected.
     */
    private static ReadResult requireConsecutive(long from, ReadResult.Records read) throws IOException {
        long expected = from;
        for (LogRecord record : read.records()) {
            if (record.offset() != expected) {
                throw new IOException("expected offset " + expected + ", got " + record.offset());
            }
            expected++;
        }
        if (read.next() != expected) {
            throw new IOException("expected next offset " + expected + ", got " + read.next());
        }
        return read;
    }

    private record AppendRequest(List<byte[]> records) {}

    private record AppendResponse(long firstOffset) {}
}
