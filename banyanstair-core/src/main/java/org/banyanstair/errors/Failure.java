package org.banyanstair.errors;

import java.time.Instant;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.ServiceId;

/**
 * Cause of a failed operation; one record type for each cause, with its details as components.
 *
 * <p>The message texts are in the bundle {@code messages.properties} of this package, keyed by {@link #code}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "failure")
public sealed interface Failure {
    /**
     * Returns the stable code that callers and operators see.
     *
     * @return code in lower case with underscores
     */
    @JsonIgnore
    default String code() {
        return getClass().getSimpleName().replaceAll("(?<=.)([A-Z])", "_$1").toLowerCase(java.util.Locale.ROOT);
    }

    /**
     * Returns whether the request may have been executed in spite of the failure.
     *
     * @return {@link FailureOutcome#NOT_RUN} unless overridden
     */
    @JsonIgnore
    default FailureOutcome outcome() {
        return FailureOutcome.NOT_RUN;
    }

    /** A field of an input has an invalid value. */
    record InvalidField(String field, String accepted) implements Failure {}

    /** A field of a settings or declarations file has an invalid value. */
    record InvalidSetting(String file, int line, int column, String field, String accepted) implements Failure {}

    /** A body or file could not be parsed. */
    record MalformedInput(String input, int line, int column) implements Failure {}

    /** A body exceeds the size limit. */
    record BodyTooLarge(long limitBytes) implements Failure {}

    /** The request has no valid API key. */
    record Unauthenticated() implements Failure {}

    /** The caller may not use the service. */
    record CallerNotAllowed(CallerId caller, ServiceId service) implements Failure {}

    /** The service does not exist. */
    record UnknownService(ServiceId service) implements Failure {}

    /** The adapter or its version does not exist. */
    record UnknownModel(String model) implements Failure {}

    /** A non-idempotent call has no idempotency key. */
    record MissingIdempotencyKey(ServiceId service) implements Failure {}

    /** The idempotency key was used before for another call. */
    record IdempotencyKeyReused(String key) implements Failure {}

    /** The deadline has passed. */
    record DeadlinePassed(Instant deadline) implements Failure {}

    /** The deadline passed while the request ran. */
    record DeadlineExceeded(Instant deadline) implements Failure {
        @Override
        public FailureOutcome outcome() {
            return FailureOutcome.UNKNOWN;
        }
    }

    /** The deadline is too far in the future. */
    record DeadlineTooFar(Instant deadline, Instant latest) implements Failure {}

    /** The request cannot be answered before its deadline. */
    record DeadlineUnreachable(Instant deadline, Instant earliest) implements Failure {}

    /** The queue of the pool is full. */
    record QueueFull(PoolId pool, int limit) implements Failure {}

    /** The caller has reached its limit of running and waiting requests. */
    record CallerLimitReached(CallerId caller, int limit) implements Failure {}

    /** No endpoint of the pool can take the request. */
    record NoEndpoint(PoolId pool) implements Failure {}

    /** No engine could load the adapter. */
    record AdapterLoadFailed(AdapterVersion adapter) implements Failure {}

    /** Requests with the same content have crashed endpoints; {@code ran} is true if this one was executed before. */
    record RequestCrashesEndpoints(int crashes, boolean ran) implements Failure {
        @Override
        public FailureOutcome outcome() {
            return ran ? FailureOutcome.UNKNOWN : FailureOutcome.NOT_RUN;
        }
    }

    /** The preset in force admits no new requests. */
    record InMaintenance(ServiceId service) implements Failure {}

    /** The retry budget of the pool is exhausted. */
    record RetryBudgetSpent(PoolId pool) implements Failure {}

    /** The endpoint failed while it was executing the request. */
    record EndpointFailed(EndpointId endpoint) implements Failure {
        @Override
        public FailureOutcome outcome() {
            return FailureOutcome.UNKNOWN;
        }
    }

    /** The endpoint could not be reached; nothing was sent. */
    record EndpointUnreachable(EndpointId endpoint) implements Failure {}

    /** The endpoint refused the request or command without executing it. */
    record EndpointRefused(EndpointId endpoint, int status) implements Failure {}

    /** The endpoint has not loaded the adapter. */
    record AdapterNotLoaded(EndpointId endpoint, AdapterVersion adapter) implements Failure {}

    /** The endpoint has seen a higher fencing token. */
    record OrderFenced(EndpointId endpoint, long term) implements Failure {}

    /** The call may have been executed; its outcome is unknown. */
    record OutcomeUnknown() implements Failure {
        @Override
        public FailureOutcome outcome() {
            return FailureOutcome.UNKNOWN;
        }
    }

    /** The host has no configuration yet. */
    record NotReady(HostId host) implements Failure {}

    /** The log service cannot be reached or refused the operation. */
    record LogUnavailable(String stream) implements Failure {}

    /** The host list cannot be read. */
    record HostListUnavailable() implements Failure {}

    /** The pool currently has no owner. */
    record OwnerUnavailable(PoolId pool) implements Failure {}

    /** No writer could record the intent of the call. */
    record WriterUnavailable(int partition) implements Failure {}

    /** Another change has been accepted since the base version. */
    record ConfigurationConflict(long baseVersion, long winningVersion) implements Failure {}

    /** It is unknown whether the change was accepted; query the verdict with its id. */
    record ChangeOutcomeUnknown(String changeId) implements Failure {
        @Override
        public FailureOutcome outcome() {
            return FailureOutcome.UNKNOWN;
        }
    }

    /** A change refers to something that does not exist or would leave the configuration inconsistent. */
    record InvalidChange(String field, String accepted) implements Failure {}

    /** The request was cancelled by its caller. */
    record Cancelled() implements Failure {
        @Override
        public FailureOutcome outcome() {
            return FailureOutcome.UNKNOWN;
        }
    }

    /** The host could not be reached. */
    record HostUnreachable(HostId host) implements Failure {}

    /** None of the operator addresses could be reached; nothing was sent, or the request may be repeated. */
    record OperatorUnreachable(String addresses) implements Failure {}

    /** The operator API sent a response that does not follow its protocol. */
    record UnexpectedResponse(int status) implements Failure {}

    /** The peer sent a frame that could not be decoded. */
    record MalformedFrame(int lengthBytes) implements Failure {}

    /** The API has no such path, or the path does not support the method. */
    record UnknownPath(String method, String path) implements Failure {}

    /** This host has not seen a change with this id. */
    record UnknownChange(String changeId) implements Failure {}

    /** A bug in this software; the request may have been executed. */
    record InternalError() implements Failure {
        @Override
        public FailureOutcome outcome() {
            return FailureOutcome.UNKNOWN;
        }
    }
}
