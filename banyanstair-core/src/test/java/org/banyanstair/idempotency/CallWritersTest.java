package org.banyanstair.idempotency;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

import org.banyanstair.external.LogStreams;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.membership.Membership;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.ownership.RendezvousHash;
import org.banyanstair.reducer.Effect;
import org.banyanstair.reducer.Effects;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a host that does not follow or unfollow partitions when the host list changes. */
class CallWritersTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");

    private final Membership membership = new Membership(new HostIdentity(new HostId("host-0"), 1));
    private final CallWriters writers = new CallWriters(membership, ReducerSettings.DEFAULT, new Sequence());
    private final Set<String> followed = new TreeSet<>();

    private static HostListing listing(int hosts) {
        NetworkAddress address = new NetworkAddress("127.0.0.1", 1);
        List<EntryHost> entries = IntStream.range(0, hosts)
                .mapToObj(number -> new EntryHost(
                        new HostId("host-" + number),
                        Presence.LIVE,
                        new DataCentre("ub-east"),
                        address,
                        address,
                        address))
                .toList();
        return new HostListing(hosts, entries, List.of());
    }

    private void tick() {
        Effects effects = new Effects();
        writers.tick(NOW, effects);
        effects.drain().forEach(effect -> {
            if (effect instanceof Effect.FollowStream follow) {
                followed.add(follow.stream());
            } else if (effect instanceof Effect.UnfollowStream unfollow) {
                followed.remove(unfollow.stream());
            }
        });
    }

    private Set<String> ranked() {
        Set<String> ranked = new TreeSet<>();
        LogStreams.callPartitions().mapToObj(LogStreams::callStream).forEach(stream -> {
            List<HostId> first =
                    RendezvousHash.rank(stream, membership.listing().liveHosts());
            if (first.subList(0, Math.min(2, first.size())).contains(new HostId("host-0"))) {
                ranked.add(stream);
            }
        });
        return ranked;
    }

    @Test
    void partitionsFollowTheHostList() {
        tick();
        assertEquals(Set.of(), followed);
        for (int hosts : new int[] {1, 12, 12, 3, 1}) {
            membership.updateListing(listing(hosts));
            tick();
            tick();
            assertEquals(ranked(), followed, hosts + " hosts");
        }
    }
}
