package org.banyanstair.forwarding;

import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;

/** What a record of a topic says. */
public sealed interface Fact {
    /**
     * A configuration.
     *
     * @param configuration the configuration
     */
    record Configured(ForwardingConfiguration configuration) implements Fact {}

    /**
     * A version of an adapter was named.
     *
     * @param adapter the adapter
     * @param version its newest version
     */
    record VersionNamed(AdapterName adapter, long version) implements Fact {}

    /**
     * An endpoint's entry.
     *
     * @param listing the entry
     */
    record Listed(EndpointListing listing) implements Fact {}

    /**
     * A host took command of a runner.
     *
     * @param endpoint the runner
     * @param host the host
     * @param settled whether no other host can have commanded the runner within the lease term
     */
    record Claimed(EndpointId endpoint, HostId host, boolean settled) implements Fact {}

    /**
     * A host announced itself.
     *
     * @param announcement its announcement
     */
    record Announced(HostAnnouncement announcement) implements Fact {}
}
