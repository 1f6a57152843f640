package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;

import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerMessage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Shared work is distributed in proportion to the hosts' cores. */
class PeerTableTest {
    private static final double WEAK_CORES = 0.3;

    private static final double STRONG_CORES = 1.5;

    private final Instant now = Instant.ofEpochSecond(100);
    private final PeerTable peers = new PeerTable(announcement(0));

    private static HostAnnouncement announcement(int number) {
        return new HostAnnouncement(
                new HostId("host-" + number),
                1,
                NetworkAddress.parse("10.1.0." + (1 + number) + ":80"),
                NetworkAddress.parse("10.2.0." + (1 + number) + ":81"),
                "east",
                number % 4 == 3 ? WEAK_CORES : STRONG_CORES);
    }

    private void begin(int count) {
        for (int number = 1; number < count; number++) {
            peers.update(announcement(number), now);
            peers.recordState(
                    new PeerMessage.HostState(
                            announcement(number),
                            false,
                            true,
                            0,
                            false,
                            false,
                            0,
                            0,
                            0,
                            0,
                            0,
                            0,
                            LoadCounts.NONE,
                            PartEvidence.NONE,
                            List.of(),
                            List.of()),
                    now);
        }
    }

    @Test
    void weakHostIsAdvertisedInProportionToItsCores() {
        begin(24);
        int answers = 2000;
        List<NetworkAddress> named = IntStream.range(0, answers)
                .mapToObj(answer -> peers.callerAddresses(false, now))
                .flatMap(List::stream)
                .toList();
        for (int number = 0; number < 24; number++) {
            NetworkAddress callers = announcement(number).callers();
            long times = named.stream().filter(callers::equals).count();
            double share = Math.min(1, announcement(number).cores() / STRONG_CORES);
            assertEquals(share, (double) times / answers, 0.02, callers.toString());
        }
    }

    /** Guards against reliance on relayed records whose era is unknown, in a deployment with two releases. */
    @Test
    void hostOfAReleaseWithoutErasReadsForNobodyElse() {
        begin(24);
        peers.setLogNamesEra();
        assertEquals(List.of(announcement(0).host()), peers.logReaders(true, now));
    }

    @Test
    void logReadersAreStrongHosts() {
        begin(24);
        List<HostId> readers = peers.logReaders(true, now);
        assertEquals(3, readers.size());
        assertTrue(readers.stream().allMatch(host -> IntStream.range(0, 24)
                .mapToObj(PeerTableTest::announcement)
                .anyMatch(known -> known.host().equals(host) && known.cores() == STRONG_CORES)));
    }
}
