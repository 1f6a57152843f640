package org.banyanstair.server.http;

import java.util.HashMap;
import java.util.Map;

import org.banyanstair.errors.Failure;

/** Maps failures to HTTP statuses. */
public final class FailureStatus {
    /** Status recorded in logs and metrics if the caller disconnected; it is never sent. */
    public static final int CLIENT_CLOSED_REQUEST = 499;

    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final Map<Class<? extends Failure>, Integer> STATUSES = statuses();

    private FailureStatus() {}

    private static Map<Class<? extends Failure>, Integer> statuses() {
        Map<Class<? extends Failure>, Integer> table = new HashMap<>();
        table.put(Failure.InvalidField.class, BAD_REQUEST);
        table.put(Failure.InvalidSetting.class, BAD_REQUEST);
        table.put(Failure.MalformedInput.class, BAD_REQUEST);
        table.put(Failure.MissingIdempotencyKey.class, BAD_REQUEST);
        table.put(Failure.DeadlinePassed.class, BAD_REQUEST);
        table.put(Failure.DeadlineTooFar.class, BAD_REQUEST);
        table.put(Failure.InvalidChange.class, BAD_REQUEST);
        // Clients retry a 5xx automatically, but a request that crashes endpoints must not be sent again.
        table.put(Failure.RequestCrashesEndpoints.class, BAD_REQUEST);
        table.put(Failure.Unauthenticated.class, 401);
        table.put(Failure.CallerNotAllowed.class, 403);
        table.put(Failure.UnknownService.class, 404);
        table.put(Failure.UnknownModel.class, 404);
        table.put(Failure.UnknownPath.class, 404);
        table.put(Failure.UnknownChange.class, 404);
        table.put(Failure.IdempotencyKeyReused.class, CONFLICT);
        table.put(Failure.ConfigurationConflict.class, CONFLICT);
        table.put(Failure.BodyTooLarge.class, 413);
        table.put(Failure.QueueFull.class, TOO_MANY_REQUESTS);
        table.put(Failure.CallerLimitReached.class, TOO_MANY_REQUESTS);
        table.put(Failure.EndpointFailed.class, GATEWAY_TIMEOUT);
        table.put(Failure.OutcomeUnknown.class, GATEWAY_TIMEOUT);
        table.put(Failure.ChangeOutcomeUnknown.class, GATEWAY_TIMEOUT);
        table.put(Failure.Cancelled.class, GATEWAY_TIMEOUT);
        table.put(Failure.InternalError.class, 500);
        return Map.copyOf(table);
    }

    /** Returns the HTTP status of a failure; 503 for causes on the side of the platform. */
    public static int of(Failure failure) {
        if (failure instanceof Failure.EndpointRefused refused && isRequestError(refused.status())) {
            return BAD_REQUEST;
        }
        return STATUSES.getOrDefault(failure.getClass(), SERVICE_UNAVAILABLE);
    }

    private static boolean isRequestError(int endpointStatus) {
        return endpointStatus == BAD_REQUEST || endpointStatus == 413 || endpointStatus == 422;
    }

    /**
     * Returns the HTTP status of a failure of an admitted request that did not run.
     *
     * <p>A deadline that passes while the request is queued is not an error of the caller, unlike one that had already
     * passed on arrival.
     *
     * @param failure why it did not run
     * @return the status; never 504, which means that the outcome is unknown
     */
    public static int ofNotRun(Failure failure) {
        int status = of(failure);
        boolean late = failure instanceof Failure.DeadlinePassed;
        return late || status >= 500 ? SERVICE_UNAVAILABLE : status;
    }

    /** Returns the HTTP status of a failure after which the request may have run, 504. */
    public static int ofUnknown() {
        return GATEWAY_TIMEOUT;
    }
}
