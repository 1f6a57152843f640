package org.banyanstair.server.http.metrics;

import java.time.Duration;
import java.util.Optional;

import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.RequestId;

/**
 * What is recorded about a request that has ended.
 *
 * @param id id of the request
 * @param caller the caller, empty if the key is unknown
 * @param service the service, empty if the request named none that exists
 * @param model name of the adapter version, empty if none was chosen
 * @param status HTTP status, 499 if the caller disconnected
 * @param code {@code ok}, {@code service_error} if a plain service answered with a status from 500, or the code of the
 *     failure
 * @param duration time from the arrival of the request to its end
 * @param untilFirstToken time to the first token, empty if there was none
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
    /** Code of a request that succeeded. */
    public static final String OK = "ok";

    /** Code of a call that a plain service answered with a status from 500. */
    public static final String SERVICE_ERROR = "service_error";

    /**
     * Tells whether the request succeeded.
     *
     * @return whether it was answered
     */
    public boolean succeeded() {
        return code.equals(OK);
    }
}
