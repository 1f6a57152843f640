package org.banyanstair.server.http.metrics;

import java.time.Duration;
import java.util.Optional;

import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.RequestId;

/**
 * Summary of an ended request, for the metrics, the burn samples and the log.
 *
 * @param id id of the request
 * @param caller the caller, empty if the key is unknown
 * @param service the service, empty if the request named no existing one
 * @param model name of the adapter version, empty if none was resolved
 * @param status HTTP status, 499 if the caller disconnected
 * @param code {@code ok}, {@code service_error} if a plain service returned a status of 500 or above, or the failure
 *     code
 * @param duration time from the arrival of the request to its end
 * @param untilFirstToken time to first token, empty if there was none
 * @param loadStall time that the request waited for its adapter to load
 */
public record RequestSummary(
        RequestId id,
        Optional<CallerId> caller,
        Optional<ServiceDeclaration> service,
        Optional<String> model,
        int status,
        String code,
        Duration duration,
        Optional<Duration> untilFirstToken,
        Duration loadStall) {
    /** Code of a successful request. */
    public static final String OK = "ok";

    /** Code of a call to which a plain service returned a status of 500 or above. */
    public static final String SERVICE_ERROR = "service_error";

    /** Returns whether the request succeeded. */
    public boolean succeeded() {
        return code.equals(OK);
    }
}
