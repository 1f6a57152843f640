package org.banyanstair.ownership;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.membership.Membership;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a host that keeps watching the wrong peers after the host list or an owner has changed. */
class OwnershipCoordinatorTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    private static final PoolId POOL = new PoolId("assistant");
    private static final NetworkAddress ADDRESS = new NetworkAddress("127.0.0.1", 1);
    private static final DataCentre UB_EAST = new DataCentre("ub-east");

    private final HostId self = new HostId("host-0");
    private final Membership membership = new Membership(new HostIdentity(self, 1));
    private final OwnershipCoordinator coordinator =
            new OwnershipCoordinator(membership, ReducerSettings.DEFAULT, new Sequence());
    private final Set<HostId> watched = new HashSet<>();
    private long offset;

    private static HostListing listing(int hosts) {
        List<EntryHost> entries = IntStream.range(0, hosts)
                .mapToObj(number ->
                        new EntryHost(new HostId("host-" + number), Presence.LIVE, UB_EAST, ADDRESS, ADDRESS, ADDRESS))
                .toList();
        Endpoint engine = new Endpoint(
                new EndpointId("engine"), EndpointKind.ENGINE, Presence.LIVE, UB_EAST, POOL, ADDRESS, 4, 8, true);
        return new HostListing(hosts, entries, List.of(engine));
    }

    private void tick() {
        Effects effects = new Effects();
        coordinator.tick(NOW, effects);
        effects.drain().forEach(effect -> {
            if (effect instanceof Effect.WatchPeer watch) {
                watched.add(watch.peer());
            } else if (effect instanceof Effect.UnwatchPeer unwatch) {
                watched.remove(unwatch.peer());
            }
        });
    }

    private void claim(HostId owner) {
        coordinator.state().apply(offset++, new OwnershipRecord.Claim(POOL, new HostIdentity(owner, 1)));
    }

    @Test
    void watchesFollowTheListAndTheOwner() {
        coordinator.markCaughtUp();
        membership.updateListing(listing(3));
        tick();
        assertEquals(Set.of(new HostId("host-1"), new HostId("host-2")), watched);
        membership.updateListing(listing(2));
        tick();
        assertEquals(Set.of(new HostId("host-1")), watched);
        membership.updateListing(listing(12));
        tick();
        Set<HostId> alwaysWatched = Set.copyOf(watched);
        assertEquals(2, alwaysWatched.size());
        for (HostId owner : membership.listing().liveHosts()) {
            claim(owner);
            tick();
            Set<HostId> expected = new HashSet<>(alwaysWatched);
            if (!owner.equals(self) && isSuccessor(owner)) {
                expected.add(owner);
            }
            assertEquals(expected, watched, "owner " + owner);
        }
        assertTrue(
                membership.listing().liveHosts().stream().anyMatch(this::isSuccessor),
                "this host is no owner's successor");
    }

    private boolean isSuccessor(HostId owner) {
        List<HostId> others = membership.listing().liveHosts().stream()
                .filter(host -> !host.equals(owner))
                .toList();
        return RendezvousHash.rank(POOL.value(), others).subList(0, 2).contains(self);
    }
}
