package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.banyanstair.crashes.CrashedRequest;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.versions.SoftwareVersion;
import org.banyanstair.versions.StreamBatch;

/** Decoded content of a record of a platform topic. */
public sealed interface DecodedRecord {
    /** A new version of the configuration. */
    record ConfigurationPublished(ForwardingConfiguration configuration) implements DecodedRecord {}

    /**
     * A record that is malformed and refused as a whole.
     *
     * @param field path of the invalid field
     * @param accepted what is accepted there; contains nothing of the record
     */
    record Malformed(String field, String accepted) implements DecodedRecord {}

    /** A new version of an adapter was published. */
    record AdapterVersionPublished(AdapterName adapter, long version) implements DecodedRecord {}

    /** An endpoint registered itself or updated its entry. */
    record EndpointListed(EndpointListing listing) implements DecodedRecord {}

    /**
     * A runner was claimed for a host.
     *
     * @param settled whether no other host can have commanded the runner within the lease term
     * @param era era of the log in which it was claimed; an earlier one than that of its position if the log was
     *     restored since
     */
    record RunnerClaimed(EndpointId endpoint, HostId host, boolean settled, long era) implements DecodedRecord {}

    /** Requests with a prompt part are refused until an instant; one in the past stands for no longer. */
    record PartRefused(long part, Instant expiresAt) implements DecodedRecord {}

    /** Endpoints crashed while they ran a request. */
    record RequestCrashed(CrashedRequest request) implements DecodedRecord {}

    /** Software versions began streams. */
    record StreamsBegun(List<StreamBatch> batches) implements DecodedRecord {}

    /**
     * Software versions serve a service, or did lately.
     *
     * @param served when each served last, on the local steady clock; {@link Instant#MAX} if it served when the record
     *     was written
     */
    record VersionsServed(String service, Map<SoftwareVersion, Instant> served) implements DecodedRecord {}

    /** A host announced its addresses. */
    record HostAnnounced(HostAnnouncement announcement) implements DecodedRecord {}
}
