package org.banyanstair.peer;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.configuration.CheckpointPart;
import org.banyanstair.errors.Failure;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.external.Topic;
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

    /** Asks for a {@link Pong}; sent every second on each open connection on which nothing else was sent lately. */
    record Ping(long sequence) implements PeerMessage {}

    /** Answers a {@link Ping}. */
    record Pong(long sequence) implements PeerMessage {}

    /**
     * Asks the pool owner for permission to run a request on an endpoint.
     *
     * @param attempt number of the attempt, from 1
     * @param adapter adapter to run on
     * @param caller the caller
     * @param callerLimit most requests of the caller that may run or wait
     * @param queueLimit most requests that may wait for the service
     * @param priority priority class
     * @param deadline instant after which nobody waits for the answer
     * @param prefix hash of the first part of the prompt, for affinity to cached prefixes
     * @param tried endpoints that failed this request
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
            Set<EndpointId> tried)
            implements PeerMessage {}

    /**
     * Permits one attempt on an endpoint.
     *
     * @param sequence number that grows with each grant and inventory of the owner
     * @param loadStallMilliseconds time that the request waited because no engine had its adapter, 0 if one had it
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

    /** Refuses an attempt; it did not run. */
    record PermitRefusal(RequestId request, int attempt, PoolId pool, long term, Failure failure)
            implements PeerMessage {}

    /** Tells the sender of a {@link PermitRequest} that this host does not own the pool. */
    record NotOwner(RequestId request, int attempt, PoolId pool, long knownTerm) implements PeerMessage {}

    /** Gives a permit back, or withdraws a request that still waits. */
    record PermitRelease(RequestId request, int attempt, PoolId pool, AttemptOutcome outcome) implements PeerMessage {}

    /**
     * The owner asks for the permits held in its pool. From then on the receiver refuses grants of older terms and
     * grants with a lower sequence, so that a late grant cannot escape the inventory.
     */
    record InventoryRequest(PoolId pool, long term, long sequence) implements PeerMessage {}

    /** Answers an {@link InventoryRequest}. */
    record InventoryReply(PoolId pool, long term, long sequence, List<HeldPermit> permits) implements PeerMessage {}

    /**
     * Submits a call that may not be repeated to the writer of its partition.
     *
     * @param attempt the attempt
     * @param key scope and idempotency key
     * @param bodyDigest digest of method, path and body
     * @param pool pool of the plain service
     * @param call the call
     * @param voided earlier attempts of the same request that must never run
     * @param writer the only run of a daemon that may take the attempt; empty if the submitter knows none yet
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
     * @param voidsRecorded whether the log shows that none of the voided attempts can run
     */
    record CallOutcome(AttemptId attempt, CallAnswer answer, boolean voidsRecorded) implements PeerMessage {}

    /** Asks for the configuration, if the receiver has applied more than the sender. */
    record ConfigurationRequest(long nextOffset) implements PeerMessage {}

    /** One part of the configuration that the sender has, and the pool owners that it knows. */
    record ConfigurationReply(CheckpointPart part, Map<PoolId, Ownership> owners) implements PeerMessage {}

    /** Asks for the state of the receiver. */
    record StatusRequest(long query) implements PeerMessage {}

    /** Answers a {@link StatusRequest}; the endpoints are those of the pools that the sender owns. */
    record StatusReply(long query, HostStatus status, List<EndpointReport> endpoints) implements PeerMessage {}

    /** Asks the receiver to drain and stop. */
    record DrainRequest() implements PeerMessage {}

    /** The sender leaves; its pools and partitions need new owners. */
    record HostLeaving(HostIdentity host) implements PeerMessage {}

    /**
     * Tells that the sender lives, where it is, and how far it has read the platform's topics.
     *
     * @param leaving whether it stops soon and takes no new callers
     * @param reachesLog whether its last read of the log was answered
     * @param configurationOffset end of what it has read of the configuration
     * @param endpointsOffset end of what it has read of the endpoints' entries
     */
    record HostState(
            HostAnnouncement announcement,
            boolean leaving,
            boolean reachesLog,
            long configurationOffset,
            long endpointsOffset)
            implements PeerMessage {}

    /**
     * News of several hosts, on their way through relays.
     *
     * @param news the news
     * @param passOn whether the receiver is to pass them on to its group
     */
    record Bundle(List<PeerBroadcast> news, boolean passOn) implements PeerMessage {}

    /**
     * A message for one host, on its way through relays.
     *
     * @param origin where it is from
     * @param target where it goes
     * @param hops relays that it may still pass
     */
    record Routed(HostIdentity origin, HostId target, int hops, PeerMessage message) implements PeerMessage {}

    /**
     * What the sender's requests use.
     *
     * @param complete whether endpoints that are not listed are unused; else they are as in the last message
     */
    record UseReport(List<EndpointUsage> uses, boolean complete) implements PeerMessage {}

    /**
     * The adapters of a runner that the sender commands.
     *
     * @param started start of the runner's process, as in its entry
     * @param order place of the message among all on the runner; older ones are ignored
     * @param baseModels base models that it holds
     * @param waitingLoads adapters that are wanted there and not yet on their way
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
     * Asks the host that commands a runner to load an adapter there.
     *
     * @param dueInMilliseconds time in which its first request has to start to be on time
     * @param remainingMilliseconds time in which it is of use
     */
    record AdapterWanted(EndpointId endpoint, AdapterName adapter, long dueInMilliseconds, long remainingMilliseconds)
            implements PeerMessage {}

    /**
     * Asks for the records of a topic from an offset on.
     *
     * @param askedAtMilliseconds when it was sent, on the sender's own clock
     */
    record RecordsRequest(Topic topic, long offset, long askedAtMilliseconds) implements PeerMessage {}

    /**
     * Records of a topic, as an answer to a {@link RecordsRequest} or as news.
     *
     * @param offset the records are all that the topic has from here on
     * @param askedAtMilliseconds the time in the request; empty if this is news
     * @param outageAgeMilliseconds time since the log was back at the end of an outage after which entries may still be
     *     missing; 0 while it lasts; empty if there was none lately
     * @param ageMilliseconds time since the start of the last read of the topic by the sender
     */
    record RecordsReply(
            Topic topic,
            long offset,
            List<RelayedRecord> records,
            long end,
            Optional<Long> outageAgeMilliseconds,
            Optional<Long> askedAtMilliseconds,
            long ageMilliseconds)
            implements PeerMessage {}

    /** A request has crashed an endpoint. */
    record CrashReport(long fingerprint, EndpointId endpoint, long started) implements PeerMessage {}
}
