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
 * Why an operation failed; one record per cause, with the values that explain it.
 *
 * <p>Texts for people are in the bundle {@code messages.properties} of this package, keyed by {@link #code}.
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
     * Returns what the failure says about the request.
     *
     * @return {@link FailureOutcome#NOT_RUN} unless the case says otherwise
     */
    @JsonIgnore
    default FailureOutcome outcome() {
        return FailureOutcome.NOT_RUN;
    }

    /** A field of an input has a wrong value. */
    record InvalidField(String field, String accepted) implements Failure {}

    /** A field of a settings or declarations file has a wrong value. */
    record InvalidSetting(String file, int line, int column, String field, String accepted) implements Failure {}

    /** A body or file could not be parsed. */
    record MalformedInput(String input, int line, int column) implements Failure {}

    /** A body is larger than accepted. */
    record BodyTooLarge(long limitBytes) implements Failure {}

    /** The request carries no known key. */
    record Unauthenticated() implements Failure {}

    /** The service does not answer this caller. */
    record CallerNotAllowed(CallerId caller, ServiceId service) implements Failure {}

    /** No such service. */
    record UnknownService(ServiceId service) implements Failure {}

    /** No such adapter, or no such version of it. */
    record UnknownModel(String model) implements Failure {}

    /** A call that may not be repeated carries no idempotency key. */
    record MissingIdempotencyKey(ServiceId service) implements Failure {}

    /** The idempotency key was used before with another body. */
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

    /** The deadline is further off than accepted. */
    record DeadlineTooFar(Instant deadline, Instant latest) implements Failure {}

    /** The request cannot be answered before its deadline. */
    record DeadlineUnreachable(Instant deadline, Instant earliest) implements Failure {}

    /** The queue of the pool is full. */
    record QueueFull(PoolId pool, int limit) implements Failure {}

    /** The caller has as many requests running or waiting as it may have. */
    record CallerLimitReached(CallerId caller, int limit) implements Failure {}

    /** No endpoint of the pool can take the request. */
    record NoEndpoint(PoolId pool) implements Failure {}

    /** The adapter could not be loaded anywhere. */
    record AdapterLoadFailed(AdapterVersion adapter) implements Failure {}

    /** The request has crashed endpoints and is refused; {@code ran} tells whether this very request ran before. */
    record RequestCrashesEndpoints(int crashes, boolean ran) implements Failure {
        @Override
        public FailureOutcome outcome() {
            return ran ? FailureOutcome.UNKNOWN : FailureOutcome.NOT_RUN;
        }
    }

    /** The preset in force admits no new requests. */
    record InMaintenance(ServiceId service) implements Failure {}

    /** Retries have used up their share of the traffic. */
    record RetryBudgetSpent(PoolId pool) implements Failure {}

    /** The endpoint failed while it ran the request. */
    record EndpointFailed(EndpointId endpoint) implements Failure {
        @Override
        public FailureOutcome outcome() {
            return FailureOutcome.UNKNOWN;
        }
    }

    /** The endpoint could not be reached; nothing was sent. */
    record EndpointUnreachable(EndpointId endpoint) implements Failure {}

    /** The endpoint refused the request or order before it ran. */
    record EndpointRefused(EndpointId endpoint, int status) implements Failure {}

    /** The endpoint does not have the adapter. */
    record AdapterNotLoaded(EndpointId endpoint, AdapterVersion adapter) implements Failure {}

    /** The endpoint has seen a higher fencing number. */
    record OrderFenced(EndpointId endpoint, long term) implements Failure {}

    /** The call may have run; its outcome is not known. */
    record OutcomeUnknown() implements Failure {
        @Override
        public FailureOutcome outcome() {
            return FailureOutcome.UNKNOWN;
        }
    }

    /** The host has no configuration yet. */
    record NotReady(HostId host) implements Failure {}

    /** The log service cannot be reached or refuses the operation. */
    record LogUnavailable(String stream) implements Failure {}

    /** The host list cannot be read. */
    record HostListUnavailable() implements Failure {}

    /** No host decides for the pool at the moment. */
    record OwnerUnavailable(PoolId pool) implements Failure {}

    /** No host could write the intent of the call. */
    record WriterUnavailable(int partition) implements Failure {}

    /** Another change was accepted first. */
    record ConfigurationConflict(long baseVersion, long winningVersion) implements Failure {}

    /** It is not known whether the change was accepted; ask again with its id. */
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

    /** A host could not be reached. */
    record HostUnreachable(HostId host) implements Failure {}

    /** None of the operator addresses could be reached; nothing was sent, or the request may be repeated. */
    record OperatorUnreachable(String addresses) implements Failure {}

    /** The operator API answered in a way that its protocol does not know. */
    record UnexpectedResponse(int status) implements Failure {}

    /** The peer sent a frame that could not be decoded. */
    record MalformedFrame(int lengthBytes) implements Failure {}

    /** The interface has no such path, or the path does not take the method. */
    record UnknownPath(String method, String path) implements Failure {}

    /** This host has not seen a change with this id. */
    record UnknownChange(String changeId) implements Failure {}

    /** A fault in this software; the request may have run. */
    record InternalError() implements Failure {
        @Override
        public FailureOutcome outcome() {
            return FailureOutcome.UNKNOWN;
        }
    }
}
