package org.banyanstair.reducer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;

import org.banyanstair.external.LogStreams;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.PeerMessage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against callers that get no host address, or the address of a host that has stopped. */
class HostMembershipReducerTest {
    private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");
    private static final HostIdentity SELF = new HostIdentity(new HostId("entry-1"), 7);

    private final HostReducer reducer = new HostReducer(SELF, ReducerSettings.DEFAULT, START);

    private List<Effect> list(int version, String... hosts) {
        NetworkAddress address = new NetworkAddress("127.0.0.1", 1);
        List<EntryHost> entries = Stream.of(hosts)
                .map(id -> new EntryHost(
                        new HostId(id), Presence.LIVE, new DataCentre("ub-east"), address, address, address))
                .toList();
        return reducer.apply(new Event.HostListRead(
                START.plus(Duration.ofSeconds(version)), new HostListing(version, entries, List.of())));
    }

    private static List<String> toldOfLeaving(List<Effect> effects) {
        return effects.stream()
                .filter(Effect.SendToPeer.class::isInstance)
                .map(Effect.SendToPeer.class::cast)
                .filter(sent -> sent.message().equals(new PeerMessage.HostLeaving(SELF)))
                .map(sent -> sent.peer().toString())
                .toList();
    }

    @Test
    void hostIsReadyOnceItHasBeenListed() {
        reducer.start();
        reducer.apply(new Event.StreamRead(START, LogStreams.CHECKPOINTS, 0, 0, List.of()));
        reducer.apply(new Event.StreamRead(START, LogStreams.CONFIGURATION, 0, 0, List.of()));
        list(1);
        assertFalse(reducer.isReady(), "ready by an empty list");
        list(2, "entry-2");
        assertFalse(reducer.isReady(), "ready by a list without it");
        list(3, "entry-1", "entry-2");
        assertTrue(reducer.isReady());
        list(4, "entry-2");
        assertTrue(reducer.isReady(), "no longer ready without its entry");
    }

    @Test
    void hostsThatAreListedDuringAStopLearnOfIt() {
        reducer.start();
        list(1, "entry-1", "entry-2");
        assertEquals(List.of("entry-2"), toldOfLeaving(reducer.apply(new Event.DrainStarted(START.plusSeconds(2)))));
        assertEquals(List.of("entry-2", "entry-3"), toldOfLeaving(list(3, "entry-1", "entry-2", "entry-3")));
    }
}
