package org.banyanstair.peer;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.configuration.CheckpointPart;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.idempotency.AttemptId;
import org.banyanstair.idempotency.CallAnswer;
import org.banyanstair.idempotency.CallKey;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;
import org.banyanstair.ownership.Ownership;

/** A message from one entry host to another. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface PeerMessage {
    /** First message on each connection, in both directions. */
    record Hello(int protocolVersion, HostIdentity sender, String cluster) implements PeerMessage {}

    /** Heartbeat, answered by a {@link Pong}; sent every second on an idle connection. */
    record Ping(long sequence) implements PeerMessage {}

    /** Answers a {@link Ping}. */
    record Pong(long sequence) implements PeerMessage {}

    /**
     * Asks the pool owner for a permit to run a request on an endpoint.
     *
     * @param attempt number of the attempt, starting at 1
     * @param callerLimit maximum number of running and waiting requests of the caller
     * @param queueLimit maximum number of requests that may wait, as declared for the service
     * @param deadline instant after which the response is no longer needed
     * @param prefix hash of the first part of the prompt, for prefix cache affinity
     * @param parts hashes of the parts of the prompt that other requests may share; null stands for none
     * @param tried endpoints on which earlier attempts of this request failed
     */
    record PermitRequest(
            RequestId request,
            int attempt,
            PoolId pool,
            AdapterVersion adapter,
            CallerId caller,
            int callerLimit,
            int queueLimit,
            PriorityClass priority,
            Instant deadline,
            long prefix,
            Fingerprint fingerprint,
            List<Long> parts,
            Set<EndpointId> tried)
            implements PeerMessage {
        /** Replaces what a host of an earlier release does not send. */
        public PermitRequest {
            parts = parts == null ? List.of() : List.copyOf(parts);
        }
    }

    /**
     * Grants a permit for one attempt on an endpoint.
     *
     * @param sequence number that increases with each grant and inventory request of the owner
     * @param loadStallMilliseconds time that the request waited for an adapter load, 0 if an engine had the adapter
     */
    record PermitGrant(
            RequestId request,
            int attempt,
            PoolId pool,
            long term,
            long sequence,
            Endpoint endpoint,
            long loadStallMilliseconds)
            implements PeerMessage {}

    /** Refuses a permit; the attempt did not run. */
    record PermitRefusal(RequestId request, int attempt, PoolId pool, long term, Failure failure)
            implements PeerMessage {}

    /** Tells the sender of a {@link PermitRequest} that this host does not own the pool. */
    record NotOwner(RequestId request, int attempt, PoolId pool, long knownTerm) implements PeerMessage {}

    /** Releases a permit, or withdraws a waiting permit request. */
    record PermitRelease(RequestId request, int attempt, PoolId pool, AttemptOutcome outcome) implements PeerMessage {}

    /**
     * Asks for the permits that the receiver holds in the sender's pool. From then on the receiver rejects grants of
     * older terms and grants with a lower sequence number, so that the inventory does not miss a delayed grant.
     */
    record InventoryRequest(PoolId pool, long term, long sequence) implements PeerMessage {}

    /** Answers an {@link InventoryRequest}. */
    record InventoryReply(PoolId pool, long term, long sequence, List<HeldPermit> permits) implements PeerMessage {}

    /**
     * Submits a call with an idempotency key to the writer of its partition.
     *
     * @param key scope and idempotency key
     * @param bodyDigest digest of method, path and body
     * @param pool pool of the plain service
     * @param voided earlier attempts of the same request that must never run
     * @param writer the only incarnation of a host that may accept the attempt; empty if the sender knows none yet
     */
    record CallSubmit(
            AttemptId attempt,
            CallKey key,
            String bodyDigest,
            PoolId pool,
            ServiceCall call,
            Set<AttemptId> voided,
            Optional<HostIdentity> writer)
            implements PeerMessage {}

    /**
     * Answers a {@link CallSubmit}.
     *
     * @param voidsRecorded whether the log records that none of the voided attempts can run
     */
    record CallOutcome(AttemptId attempt, CallAnswer answer, boolean voidsRecorded) implements PeerMessage {}

    /** Asks for the configuration if the receiver has applied more log records than the sender. */
    record ConfigurationRequest(long nextOffset) implements PeerMessage {}

    /** Answers a {@link ConfigurationRequest} with one part of the configuration and the known pool owners. */
    record ConfigurationReply(CheckpointPart part, Map<PoolId, Ownership> owners) implements PeerMessage {}

    /** Asks for the status of the receiver. */
    record StatusRequest(long query) implements PeerMessage {}

    /** Answers a {@link StatusRequest}; lists the endpoints of the pools that the sender owns. */
    record StatusReply(long query, HostStatus status, List<EndpointReport> endpoints) implements PeerMessage {}

    /** Asks the receiver to drain and stop. */
    record DrainRequest() implements PeerMessage {}

    /** Announces that the sender is leaving, so that its pools and partitions need new owners. */
    record HostLeaving(HostIdentity host) implements PeerMessage {}

    /**
     * Heartbeat of the sender with its addresses and its read positions in the platform's topics.
     *
     * @param leaving whether the sender stops soon and accepts no new callers
     * @param reachesLog whether its last read of the log succeeded
     * @param logEra newest era of the log that the sender knows; 0 stands for none
     * @param logEraSettled whether no host can hold a lease of an earlier era
     * @param logEraRestored whether the sender knows that an earlier era came before
     * @param configurationOffset next offset to read in the configuration topic
     * @param configurationEra era of that offset
     * @param endpointsOffset next offset to read in the endpoints topic
     * @param endpointsEra era of that offset
     * @param lostEnd offset up to which the sender knows configuration records that the restored log lacks; 0 stands
     *     for none
     * @param lostEra era of that offset
     * @param loads adapter loads that the sender has observed; null stands for none
     * @param parts what the sender knows of prompt parts that may crash endpoints; null stands for nothing
     * @param requests requests that several endpoints crashed under, as far as the sender knows; null stands for none
     * @param limits limits that endpoints have named, as far as the sender knows; null stands for none
     */
    record HostState(
            HostAnnouncement announcement,
            boolean leaving,
            boolean reachesLog,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long logEra,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean logEraSettled,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean logEraRestored,
            long configurationOffset,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long configurationEra,
            long endpointsOffset,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long endpointsEra,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long lostEnd,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long lostEra,
            LoadCounts loads,
            PartEvidence parts,
            List<ReportedRequest> requests,
            List<ReportedLimit> limits)
            implements PeerMessage {
        /** Replaces what a host of an earlier release does not send. */
        public HostState {
            loads = loads == null ? LoadCounts.NONE : loads;
            parts = parts == null ? PartEvidence.NONE : parts;
            requests = requests == null ? List.of() : List.copyOf(requests);
            limits = limits == null ? List.of() : List.copyOf(limits);
        }

        /** Returns the next position to read in the configuration topic. */
        public LogPosition configurationEnd() {
            return new LogPosition(configurationEra, configurationOffset);
        }

        /** Returns the next position to read in the endpoints topic. */
        public LogPosition endpointsEnd() {
            return new LogPosition(endpointsEra, endpointsOffset);
        }

        /** Returns the position up to which the sender knows records that the restored log lacks. */
        public LogPosition lostEndPosition() {
            return new LogPosition(lostEra, lostEnd);
        }
    }

    /**
     * Broadcasts of several hosts, forwarded by relays.
     *
     * @param passOn whether the receiver has to forward them to its group
     */
    record Bundle(List<PeerBroadcast> news, boolean passOn) implements PeerMessage {}

    /**
     * A message to one host, forwarded by relays.
     *
     * @param origin sender of the message
     * @param target receiver of the message
     * @param hops remaining number of connections that the message may cross
     */
    record Routed(HostIdentity origin, HostId target, int hops, PeerMessage message) implements PeerMessage {}

    /**
     * Reports which resources of endpoints the sender's requests use.
     *
     * @param complete whether endpoints that are not listed are unused; otherwise their usage is unchanged
     * @param teams counters of the teams with an allotment that changed, of all of them if complete; null stands for
     *     empty
     * @param streams streams that the sender has passed on since, where several software versions serve; null stands
     *     for none
     */
    record UseReport(
            List<EndpointUsage> uses,
            boolean complete,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) List<TeamUsage> teams,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) List<BegunStreams> streams)
            implements PeerMessage {
        /** Replaces what a host of an earlier release does not send. */
        public UseReport {
            teams = teams == null ? List.of() : List.copyOf(teams);
            streams = streams == null ? List.of() : List.copyOf(streams);
        }
    }

    /**
     * Reports the adapters of a runner that the sender controls.
     *
     * @param started start time of the runner's process, as in its topic entry
     * @param order position among all messages about the runner; older messages are ignored
     * @param baseModels base models on the runner
     * @param waitingLoads requested adapters whose load has not started
     */
    record HeldRunner(
            EndpointId endpoint,
            long started,
            NewsOrder order,
            Set<String> baseModels,
            List<HeldAdapter> adapters,
            List<AdapterName> waitingLoads)
            implements PeerMessage {}

    /**
     * Asks the host that controls a runner to load an adapter.
     *
     * @param dueInMilliseconds time until the first request for the adapter has to start to meet its target
     * @param remainingMilliseconds time after which the load is no longer needed
     */
    record AdapterWanted(EndpointId endpoint, AdapterName adapter, long dueInMilliseconds, long remainingMilliseconds)
            implements PeerMessage {}

    /**
     * Asks for one request from the receiver's part of a limit.
     *
     * @param id returned in the answer
     * @param endpoints limited endpoints that the sender can use
     */
    record LoanRequest(long id, List<EndpointId> endpoints) implements PeerMessage {
        /** Copies the list. */
        public LoanRequest {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * Allows the receiver to send one request to an endpoint; the sender has counted it.
     *
     * @param started start time of the endpoint's process, as in its topic entry
     */
    record LoanGranted(long id, EndpointId endpoint, long started) implements PeerMessage {}

    /**
     * Tells that the sender has no room in its parts of the limits.
     *
     * @param waitMilliseconds time until it has room
     */
    record LoanRefused(long id, long waitMilliseconds) implements PeerMessage {}

    /**
     * Asks for the records of a topic from a position on; for all of them if the log was restored since.
     *
     * @param offset offset of the first record
     * @param era era of the offset
     * @param askedAtMilliseconds when the request was sent, by the sender's clock
     */
    record RecordsRequest(
            Topic topic, long offset, @JsonInclude(JsonInclude.Include.NON_DEFAULT) long era, long askedAtMilliseconds)
            implements PeerMessage {
        /** Asks for the records from a position on. */
        public RecordsRequest(Topic topic, LogPosition from, long askedAtMilliseconds) {
            this(topic, from.offset(), from.era(), askedAtMilliseconds);
        }

        /** Returns the position of the first record. */
        public LogPosition from() {
            return new LogPosition(era, offset);
        }
    }

    /**
     * Records of a topic, either an answer to a {@link RecordsRequest} or an unsolicited update.
     *
     * @param offset offset from which the records are complete
     * @param era era of all offsets
     * @param end offset up to which the sender knows the topic
     * @param outageAgeMilliseconds time since the end of the last log outage while entries may still be missing
     *     because of it; 0 during the outage, otherwise empty
     * @param askedAtMilliseconds time in the request; empty for an unsolicited update
     * @param ageMilliseconds time since the sender started its last read of the topic; for the configuration under
     *     strict revocation, age of the sender's knowledge, which a peer may have confirmed
     * @param lost records of the topic that the restored log lacks; null stands for none
     */
    record RecordsReply(
            Topic topic,
            long offset,
            @JsonInclude(JsonInclude.Include.NON_DEFAULT) long era,
            List<RelayedRecord> records,
            long end,
            Optional<Long> outageAgeMilliseconds,
            Optional<Long> askedAtMilliseconds,
            long ageMilliseconds,
            @JsonInclude(JsonInclude.Include.NON_ABSENT) Optional<LostReport> lost)
            implements PeerMessage {
        /** Replaces what a host of an earlier release does not send. */
        public RecordsReply {
            lost = lost == null ? Optional.empty() : lost;
        }

        /** Returns the position from which the records are complete. */
        public LogPosition from() {
            return new LogPosition(era, offset);
        }

        /** Returns the position up to which the sender knows the topic. */
        public LogPosition endPosition() {
            return new LogPosition(era, end);
        }
    }

    /**
     * Reports a request that was on an endpoint when it crashed.
     *
     * @param started start time of the endpoint's process, as in its topic entry
     * @param parts shared parts of the request's prompt, in order; empty if the endpoint had produced output for it;
     *     null stands for empty
     * @param ageMilliseconds time since the crash
     * @param widerFingerprints digests of the request that other requests may share; null stands for none
     */
    record CrashReport(
            long fingerprint,
            EndpointId endpoint,
            long started,
            List<Long> parts,
            long ageMilliseconds,
            List<Long> widerFingerprints)
            implements PeerMessage {
        /** Replaces what a host of an earlier release does not send. */
        public CrashReport {
            parts = parts == null ? List.of() : List.copyOf(parts);
            widerFingerprints = widerFingerprints == null ? List.of() : List.copyOf(widerFingerprints);
        }
    }
}
