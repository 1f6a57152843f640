package org.banyanstair.server.http.metrics;

import org.banyanstair.model.HostId;
import org.tinylog.Logger;

/** Records ended requests in the metrics, the burn samples and the log. Thread-safe. */
public final class RequestRecorder {
    private final HostId host;
    private final RequestMetrics metrics;
    private final BurnRateRecorder burn;

    /**
     * Creates a recorder.
     *
     * @param host this host
     * @param metrics metrics to update
     * @param burn burn samples to update
     */
    public RequestRecorder(HostId host, RequestMetrics metrics, BurnRateRecorder burn) {
        this.host = host;
        this.metrics = metrics;
        this.burn = burn;
    }

    /** Returns the metrics that this recorder updates. */
    public RequestMetrics metrics() {
        return metrics;
    }

    /** Records an ended request. */
    public void record(RequestSummary request) {
        metrics.record(request);
        burn.record(request);
        Logger.info(
                "request={} host={} caller={} service={} model={} status={} code={} milliseconds={} first-token={} load-stall={}",
                request.id(),
                host,
                request.caller().map(Object::toString).orElse("-"),
                request.service().map(service -> service.id().value()).orElse("-"),
                request.model().orElse("-"),
                request.status(),
                request.code(),
                request.duration().toMillis(),
                request.untilFirstToken()
                        .map(time -> Long.toString(time.toMillis()))
                        .orElse("-"),
                request.loadStall().toMillis());
    }
}
