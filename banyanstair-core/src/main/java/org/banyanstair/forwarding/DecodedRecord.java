package org.banyanstair.forwarding;

import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;

/** What a record of a topic says. */
public sealed interface DecodedRecord {
    /**
     * A configuration.
     *
     * @param configuration the configuration
     */
    record ConfigurationPublished(ForwardingConfiguration configuration) implements DecodedRecord {}

    /**
     * A version of an adapter was named.
     *
     * @param adapter the adapter
     * @param version its newest version
     */
    record AdapterVersionPublished(AdapterName adapter, long version) implements DecodedRecord {}

    /**
     * An endpoint's entry.
     *
     * @param listing the entry
     */
    record EndpointListed(EndpointListing listing) implements DecodedRecord {}

    /**
     * A host took command of a runner.
     *
     * @param endpoint the runner
     * @param host the host
     * @param settled whether no other host can have commanded the runner within the lease term
     */
    record RunnerClaimed(EndpointId endpoint, HostId host, boolean settled) implements DecodedRecord {}

    /**
     * A host announced itself.
     *
     * @param announcement its announcement
     */
    record HostAnnounced(HostAnnouncement announcement) implements DecodedRecord {}
}
