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
 * HTTP client of the host list; {@code docs/protocols.md} describes the protocol.
 *
 * <p>Thread-safe. Futures complete on threads of the client, so that dependent stages must not block.
 */
public final class HttpHostListSource implements HostListSource {
    private static final int MAXIMUM_CONCURRENT_READS = 4;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final HttpUrl hostsUrl;
    private final Duration callTimeout;
    private final DeadlineHttpClient client = new DeadlineHttpClient(MAXIMUM_CONCURRENT_READS);
    private final AtomicReference<HostListing> lastListing = new AtomicReference<>(HostListing.EMPTY);

    /**
     * Creates a client.
     *
     * @param address address of the host list
     * @param callTimeout timeout of a read
     */
    public HttpHostListSource(NetworkAddress address, Duration callTimeout) {
        hostsUrl = HttpUrl.get("http://" + address + "/hosts");
        this.callTimeout = callTimeout;
    }

    /** Cancels reads in progress and releases threads and connections. Later reads fail. */
    public void stop() {
        client.stop();
    }

    @Override
    public CompletableFuture<HostListing> read() {
        HostListing known = lastListing.get();
        HttpUrl url = known.version() == 0
                ? hostsUrl
                : hostsUrl.newBuilder()
                        .addQueryParameter("known", Long.toString(known.version()))
                        .build();
        return client.call(new Request.Builder().url(url), callTimeout).thenApply(result -> {
            HostListing listing = parseListing(result, known);
            lastListing.set(listing);
            return listing;
        });
    }

    private static HostListing parseListing(HttpCallResult result, HostListing known) {
        if (result instanceof HttpCallResult.Answered answered && answered.status() == NOT_MODIFIED) {
            return known;
        }
        if (result instanceof HttpCallResult.Answered && ((HttpCallResult.Answered) result).status() == OK) {
            try {
                byte[] body = ((HttpCallResult.Answered) result)
                        .body()
                        .orElseThrow(() -> new IOException("truncated response body"));
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
