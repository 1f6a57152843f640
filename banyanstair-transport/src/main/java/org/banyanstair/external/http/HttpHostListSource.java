package org.banyanstair.external.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import okhttp3.HttpUrl;
import okhttp3.Request;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.external.HostListSource;
import org.banyanstair.membership.HostListing;
import org.banyanstair.model.NetworkAddress;

/**
 * Client of the host list over HTTP; {@code docs/protocols.md} describes the protocol.
 *
 * <p>Safe for use by several threads. Futures complete on threads of the client, so dependent stages must not block.
 */
public final class HttpHostListSource implements HostListSource {
    private static final int MAX_READS = 4;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final HttpUrl hosts;
    private final Duration callDeadline;
    private final DeadlineHttpClient client = new DeadlineHttpClient(MAX_READS);
    private final AtomicReference<HostListing> last = new AtomicReference<>(HostListing.EMPTY);

    /**
     * Creates a client.
     *
     * @param address where the host list listens
     * @param callDeadline time after which a read is given up
     */
    public HttpHostListSource(NetworkAddress address, Duration callDeadline) {
        hosts = HttpUrl.get("http://" + address + "/hosts");
        this.callDeadline = callDeadline;
    }

    /** Cancels the reads in progress and releases threads and connections. Later reads fail. */
    public void stop() {
        client.stop();
    }

    @Override
    public CompletableFuture<HostListing> read() {
        HostListing known = last.get();
        HttpUrl url = known.version() == 0
                ? hosts
                : hosts.newBuilder()
                        .addQueryParameter("known", Long.toString(known.version()))
                        .build();
        return client.call(new Request.Builder().url(url), callDeadline).thenApply(result -> {
            HostListing listing = listing(result, known);
            last.set(listing);
            return listing;
        });
    }

    private static HostListing listing(HttpCallResult result, HostListing known) {
        if (result instanceof HttpCallResult.Answered answered && answered.status() == NOT_MODIFIED) {
            return known;
        }
        if (result instanceof HttpCallResult.Answered && ((HttpCallResult.Answered) result).status() == OK) {
            try {
                byte[] body = ((HttpCallResult.Answered) result)
                        .body()
                        .orElseThrow(() -> new IOException("the answer is cut off"));
                return ResponseParser.JSON.readValue(body, HostListing.class);
            } catch (IOException exception) {
                throw unavailable(exception);
            }
        }
        throw unavailable(null);
    }

    private static FailureException unavailable(Throwable cause) {
        FailureException exception = new FailureException(new Failure.HostListUnavailable());
        exception.initCause(cause);
        return exception;
    }
}
