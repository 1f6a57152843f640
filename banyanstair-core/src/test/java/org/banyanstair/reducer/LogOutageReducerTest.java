package org.banyanstair.reducer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.configuration.CheckpointPart;
import org.banyanstair.configuration.ConfigurationChange;
import org.banyanstair.configuration.Operation;
import org.banyanstair.external.LogEntry;
import org.banyanstair.external.LogStreams;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PresetId;
import org.banyanstair.ownership.OwnershipRecord;
import org.banyanstair.ownership.RendezvousHash;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.placement.PlacementPolicy;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against state whose last record expires from the log during an outage or within a short retention period. */
class LogOutageReducerTest {
    private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");
    private static final DataCentre DATA_CENTRE = new DataCentre("ub-east");
    private static final HostIdentity SELF = new HostIdentity(new HostId("entry-1"), 7);
    private static final PoolId POOL = new PoolId("assistant");

    private final List<Effect> effects = new ArrayList<>();
    private Instant now = START;

    private HostReducer reducer(Duration retention, String... otherHosts) {
        ReducerSettings defaults = ReducerSettings.DEFAULT;
        HostReducer reducer = new HostReducer(
                SELF,
                new ReducerSettings(
                        defaults.callBatchDelay(),
                        defaults.keyRetention(),
                        defaults.attemptRetention(),
                        defaults.retryInterval(),
                        defaults.answerGracePeriod(),
                        defaults.maximumDispatches(),
                        defaults.changeTimeout(),
                        defaults.ownerTimeout(),
                        defaults.statusInterval(),
                        defaults.statusLag(),
                        defaults.hostListLag(),
                        retention,
                        PlacementPolicy.STANDARD),
                START);
        List<EntryHost> hosts = new ArrayList<>(List.of(host("entry-1")));
        List.of(otherHosts).forEach(other -> hosts.add(host(other)));
        Endpoint engine = new Endpoint(
                new EndpointId("engine"),
                EndpointKind.ENGINE,
                Presence.LIVE,
                DATA_CENTRE,
                POOL,
                address(9),
                4,
                8,
                true);
        reducer.start();
        effects.addAll(reducer.apply(new Event.HostListRead(START, new HostListing(1, hosts, List.of(engine)))));
        return reducer;
    }

    private static EntryHost host(String id) {
        return new EntryHost(new HostId(id), Presence.LIVE, DATA_CENTRE, address(1), address(2), address(3));
    }

    private static NetworkAddress address(int port) {
        return new NetworkAddress("127.0.0.1", port);
    }

    private void read(HostReducer reducer, String stream, long end, LogEntry... entries) {
        List<StreamEntry> records = new ArrayList<>();
        for (int index = 0; index < entries.length; index++) {
            records.add(new StreamEntry(end - entries.length + index, now, Optional.of(entries[index])));
        }
        effects.addAll(reducer.apply(new Event.StreamRead(now, stream, end, end, records)));
    }

    private void tickFor(HostReducer reducer, Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plusMillis(50);
            effects.addAll(reducer.apply(new Event.Tick(now)));
        }
    }

    private static ConfigurationChange change(String id, long base) {
        return new ConfigurationChange(id, base, "operator", List.of(new Operation.UsePreset(new PresetId("peak"))));
    }

    private List<Effect.AppendToLog> appends(String stream) {
        return effects.stream()
                .filter(Effect.AppendToLog.class::isInstance)
                .map(Effect.AppendToLog.class::cast)
                .filter(append -> append.stream().equals(stream))
                .toList();
    }

    /** If a claim expires during an outage, a joining host could claim the pool from its healthy owner. */
    @Test
    void claimsAreRenewedImmediatelyAfterAnOutage() {
        HostReducer reducer = reducer(Duration.ofHours(1));
        read(reducer, LogStreams.OWNERSHIP, 1, new OwnershipRecord.Claim(POOL, SELF));
        tickFor(reducer, Duration.ofSeconds(1));
        effects.clear();
        effects.addAll(reducer.apply(new Event.StreamUnavailable(now, LogStreams.OWNERSHIP)));
        tickFor(reducer, Duration.ofSeconds(5));
        assertEquals(List.of(), appends(LogStreams.OWNERSHIP), "claim appended while the log was unavailable");
        read(reducer, LogStreams.OWNERSHIP, 1);
        tickFor(reducer, Duration.ofSeconds(1));
        assertEquals(1, appends(LogStreams.OWNERSHIP).size());
        assertEquals(
                List.of(new OwnershipRecord.Renewal(POOL, SELF, 0)),
                appends(LogStreams.OWNERSHIP).get(0).entries());
    }

    /** With a check every 10 s and a retention of a few seconds, there would mostly be no checkpoint in the log. */
    @Test
    void checkpointsAreRenewedWithinAShortRetention() {
        Duration retention = Duration.ofSeconds(6);
        HostReducer reducer = reducer(retention);
        read(reducer, LogStreams.CHECKPOINTS, 0);
        read(reducer, LogStreams.CONFIGURATION, 1, change("change", -1));
        Instant last = now;
        int written = 0;
        while (now.isBefore(START.plusSeconds(30))) {
            effects.clear();
            tickFor(reducer, Duration.ofMillis(50));
            List<Effect.AppendToLog> appends = appends(LogStreams.CHECKPOINTS);
            if (!appends.isEmpty()) {
                written++;
                last = now;
                read(
                        reducer,
                        LogStreams.CHECKPOINTS,
                        written,
                        appends.get(0).entries().get(0));
            }
            assertTrue(
                    Duration.between(last, now).compareTo(retention) < 0,
                    "no checkpoint for " + Duration.between(last, now));
        }
        assertTrue(written <= 30 / 2 + 1, "more than three checkpoints per retention period: " + written);
    }

    /** Without a request to its peers, a host that missed expired changes would be stale until the next checkpoint. */
    @Test
    void hostThatMissedExpiredChangesAsksItsPeers() {
        HostReducer reducer = reducer(Duration.ofHours(1), "entry-2", "entry-3");
        read(reducer, LogStreams.CHECKPOINTS, 0);
        read(reducer, LogStreams.CONFIGURATION, 1, change("first", -1));
        tickFor(reducer, Duration.ofSeconds(2));
        effects.clear();
        effects.addAll(reducer.apply(new Event.StreamExpired(now, LogStreams.CONFIGURATION, 3)));
        read(reducer, LogStreams.CONFIGURATION, 4, change("fourth", 2));
        assertEquals(0, reducer.configuration().current().version());
        tickFor(reducer, Duration.ofSeconds(2));
        assertTrue(
                effects.stream()
                        .anyMatch(effect -> effect instanceof Effect.SendToPeer send
                                && send.message() instanceof PeerMessage.ConfigurationRequest),
                "no configuration request was sent to a peer");
        HostReducer ahead = reducer(Duration.ofHours(1));
        read(ahead, LogStreams.CHECKPOINTS, 0);
        read(ahead, LogStreams.CONFIGURATION, 4, change("a", -1), change("b", 0), change("c", 1), change("d", 2));
        CheckpointPart.of(ahead.configuration().current(), 4)
                .forEach(part -> effects.addAll(reducer.apply(new Event.PeerMessageReceived(
                        now,
                        new HostIdentity(new HostId("entry-2"), 1),
                        new PeerMessage.ConfigurationReply(part, Map.of())))));
        assertEquals(3, reducer.configuration().current().version());
        effects.clear();
        tickFor(reducer, Duration.ofSeconds(3));
        assertFalse(
                effects.stream()
                        .anyMatch(effect -> effect instanceof Effect.SendToPeer send
                                && send.message() instanceof PeerMessage.ConfigurationRequest),
                "configuration requests are still sent after the gap was closed");
    }

    /** Creates the reducer of a host that is not the checkpoint writer. */
    private HostReducer reducerOfNonWriter() {
        String other = "entry-2";
        while (!RendezvousHash.first("configuration-checkpoint", List.of(SELF.host(), new HostId(other)))
                .equals(Optional.of(new HostId(other)))) {
            other += "0";
        }
        HostReducer reducer = reducer(Duration.ofHours(1), other);
        read(reducer, LogStreams.CHECKPOINTS, 0);
        read(reducer, LogStreams.CONFIGURATION, 1, change("first", -1));
        return reducer;
    }

    /** Reading the checkpoints of 96,000 adapters would exceed the budget of 3 KB/s per host. */
    @Test
    void hostThatDoesNotWriteCheckpointsStopsReadingThem() {
        HostReducer reducer = reducerOfNonWriter();
        tickFor(reducer, Duration.ofSeconds(11));
        assertTrue(effects.contains(new Effect.UnfollowStream(LogStreams.CHECKPOINTS)));
    }

    @Test
    void hostThatMissedChangesReadsTheCheckpointsAgain() {
        HostReducer reducer = reducerOfNonWriter();
        tickFor(reducer, Duration.ofSeconds(11));
        effects.clear();
        effects.addAll(reducer.apply(new Event.StreamExpired(now, LogStreams.CONFIGURATION, 7)));
        tickFor(reducer, Duration.ofSeconds(1));
        assertTrue(effects.contains(new Effect.FollowStream(LogStreams.CHECKPOINTS, 0)));
    }
}
