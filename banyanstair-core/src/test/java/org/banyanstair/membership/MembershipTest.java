package org.banyanstair.membership;

import java.util.List;

import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class MembershipTest {
    private static EntryHost host(String id, Presence presence) {
        NetworkAddress address = new NetworkAddress("127.0.0.1", 1);
        return new EntryHost(new HostId(id), presence, new DataCentre("ub-east"), address, address, address);
    }

    /** Guards against results that are recomputed for each snapshot, or not recomputed after a change. */
    @Test
    void onlyADifferentListingCountsAsChange() {
        Membership membership = new Membership(new HostIdentity(new HostId("a"), 1));
        membership.updateListing(new HostListing(1, List.of(host("a", Presence.LIVE)), List.of()));
        assertEquals(1, membership.listingChangeCount());
        membership.updateListing(new HostListing(1, List.of(host("a", Presence.LIVE)), List.of()));
        assertEquals(1, membership.listingChangeCount());
        membership.updateListing(new HostListing(2, List.of(host("a", Presence.LEAVING)), List.of()));
        assertEquals(2, membership.listingChangeCount());
        assertEquals(Presence.LEAVING, membership.listing().hosts().get(0).presence());
    }
}
