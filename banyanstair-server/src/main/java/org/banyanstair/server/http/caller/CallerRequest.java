package org.banyanstair.server.http.caller;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureOutcome;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.RequestId;
import org.banyanstair.server.http.ErrorResponse;
import org.banyanstair.server.http.Exchange;
import org.banyanstair.server.http.FailureStatus;
import org.banyanstair.server.http.metrics.RequestRecorder;
import org.banyanstair.server.http.metrics.RequestSummary;

/**
 * Request of a caller with the attributes known so far. Its end is recorded exactly once.
 *
 * <p>Caller, service and model are set on the event loop before the request is handed over; the methods that end the
 * request are thread-safe.
 */
final class CallerRequest {
    private final Exchange exchange;
    private final RequestId id;
    private final RequestRecorder recorder;
    private final long arrivedNanos = System.nanoTime();
    private final AtomicBoolean ended = new AtomicBoolean();
    private Optional<CallerId> caller = Optional.empty();
    private Optional<ServiceDeclaration> service = Optional.empty();
    private Optional<AdapterVersion> adapter = Optional.empty();
    private long previousTokenNanos;
    private Optional<Duration> untilFirstToken = Optional.empty();
    private volatile long loadStallMilliseconds;

    CallerRequest(Exchange exchange, RequestId id, RequestRecorder recorder) {
        this.exchange = exchange;
        this.id = id;
        this.recorder = recorder;
        exchange.responseHeader("X-Request-Id", id.value());
        exchange.onDisconnect(() -> recordEnd(FailureStatus.CLIENT_CLOSED_REQUEST, new Failure.Cancelled().code()));
    }

    Exchange exchange() {
        return exchange;
    }

    RequestId id() {
        return id;
    }

    void setCaller(CallerId newCaller) {
        caller = Optional.of(newCaller);
    }

    void setService(ServiceDeclaration newService) {
        service = Optional.of(newService);
    }

    void setAdapter(AdapterVersion newAdapter) {
        adapter = Optional.of(newAdapter);
    }

    /** Adds the header with the adapter version to the response. Called once tokens prove that the version runs. */
    void setAdapterVersionHeader() {
        adapter.ifPresent(version -> exchange.responseHeader("X-Adapter-Version", version.engineName()));
    }

    boolean isEnded() {
        return ended.get();
    }

    /** Adds to the time that the request waited for its adapter to load, over all attempts. */
    void addLoadStall(long milliseconds) {
        loadStallMilliseconds += milliseconds;
    }

    /** Records a token in the metrics. Not called concurrently. */
    void recordToken() {
        long now = System.nanoTime();
        if (untilFirstToken.isEmpty()) {
            Duration latency = Duration.ofNanos(now - arrivedNanos);
            untilFirstToken = Optional.of(latency);
            service.ifPresent(declared -> recorder.metrics().recordFirstToken(declared.id(), latency));
        } else {
            Duration gap = Duration.ofNanos(now - previousTokenNanos);
            service.ifPresent(declared -> recorder.metrics().recordTokenGap(declared.id(), gap));
        }
        previousTokenNanos = now;
    }

    /** Sends a complete response and records the end of the request. */
    void respond(int status, Optional<String> contentType, byte[] body) {
        exchange.respond(status, contentType, body);
        recordEnd(status, status >= 500 ? RequestSummary.SERVICE_ERROR : RequestSummary.OK);
    }

    /** Records a successful end: the response has been handed to the connection. */
    void recordSuccess() {
        recordEnd(200, RequestSummary.OK);
    }

    /** Rejects a request that has not been handed over to the service. */
    void refuse(Failure failure) {
        exchange.fail(failure);
        recordEnd(FailureStatus.of(failure), failure.code());
    }

    /** Sends the error response for a failure that occurred after the request was handed over to the service. */
    void fail(Failure failure, FailureOutcome outcome) {
        int status = outcome == FailureOutcome.NOT_RUN ? FailureStatus.ofNotRun(failure) : FailureStatus.ofUnknown();
        exchange.respond(ErrorResponse.of(failure, status, outcome));
        recordEnd(status, failure.code());
    }

    /** Records a failure that has been reported within the event stream. */
    void recordStreamFailure(Failure failure) {
        recordEnd(FailureStatus.ofUnknown(), failure.code());
    }

    private void recordEnd(int status, String code) {
        if (ended.compareAndSet(false, true)) {
            Duration duration = Duration.ofNanos(System.nanoTime() - arrivedNanos);
            Optional<String> model = adapter.map(AdapterVersion::engineName);
            recorder.record(new RequestSummary(
                    id,
                    caller,
                    service,
                    model,
                    status,
                    code,
                    duration,
                    untilFirstToken,
                    Duration.ofMillis(loadStallMilliseconds)));
        }
    }
}
