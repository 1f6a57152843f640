package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.banyanstair.external.Topic;
import org.banyanstair.history.LogPosition;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.LoadCounts;
import org.banyanstair.peer.PartEvidence;
import org.banyanstair.peer.PeerMessage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeaseManagerTest {
    private static final Duration LEASE_TERM = Duration.ofSeconds(3);

    private static final EndpointId RUNNER = new EndpointId("runner-1");

    private static final int HOSTS = 3;

    private static final int STEP_MILLISECONDS = 20;

    /** Duration of a read of the claims without a change. */
    private static final int READ_MILLISECONDS = (int) PlatformView.CLAIMS_WAIT.toMillis() + 50;

    private final List<DecodedRecord.RunnerClaimed> log = new ArrayList<>();
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final Instant start = Instant.ofEpochSecond(1000);

    private static HostAnnouncement announcement(int index) {
        return new HostAnnouncement(
                new HostId("host-" + index),
                1,
                NetworkAddress.parse("10.0.0." + index + ":80"),
                NetworkAddress.parse("10.0.0." + index + ":81"),
                "east",
                1);
    }

    private static EndpointState runner() {
        return new EndpointState(new EndpointListing(
                RUNNER,
                ReducerFixture.SERVICE,
                NetworkAddress.parse("10.0.1.1:80"),
                "east",
                8,
                false,
                Optional.empty(),
                1,
                Set.of(),
                List.of(),
                0));
    }

    /** Simulates a host that can be partitioned, paused or cut off from the log. */
    private final class SimulatedHost {
        private final int index;
        private final LeaseManager leases;
        private final PeerTable peers;
        private final TopicConsumer topic =
                new TopicConsumer(Topic.CLAIMS, Duration.ofMillis(READ_MILLISECONDS), Duration.ZERO);
        private Optional<Instant> readStartedAt = Optional.empty();
        private int appliedRecords;
        private Instant partitionedUntil = Instant.MIN;
        private Instant pausedUntil = Instant.MIN;
        private Instant withoutLogUntil = Instant.MIN;
        private boolean wasPaused;
        private int confirmations;

        SimulatedHost(int index) {
            this.index = index;
            this.leases = new LeaseManager(announcement(index).host(), LEASE_TERM);
            this.peers = new PeerTable(announcement(index));
            for (int other = 1; other <= HOSTS; other++) {
                peers.update(announcement(other), start);
            }
        }

        /** Applies what a peer has read, confirmed as of the start of the peer's last read. */
        private void confirmWith(SimulatedHost peer, Instant now) {
            boolean answers = peer != this
                    && !now.isBefore(peer.partitionedUntil)
                    && !now.isBefore(peer.pausedUntil)
                    && !peer.wasPaused;
            if (answers) {
                for (; appliedRecords < peer.appliedRecords; appliedRecords++) {
                    leases.applyClaim(log.get(appliedRecords), new LogPosition(0, appliedRecords), now);
                }
                peer.topic.age(now).ifPresent(age -> leases.confirm(now.minus(age)));
            }
        }

        boolean canCommand(Instant now) {
            return now.isAfter(pausedUntil)
                    && !wasPaused
                    && leases.fencingToken(RUNNER, now).isPresent();
        }

        void step(Instant now) {
            if (now.isBefore(pausedUntil)) {
                wasPaused = true;
                return;
            }
            if (wasPaused) {
                wasPaused = false;
                leases.invalidate(now);
                topic.restartRead(now);
                readStartedAt = Optional.empty();
            }
            boolean partitioned = now.isBefore(partitionedUntil);
            hosts.stream()
                    .filter(other -> other != this
                            && !partitioned
                            && !now.isBefore(other.partitionedUntil)
                            && !now.isBefore(other.pausedUntil))
                    .forEach(other -> peers.recordState(
                            new PeerMessage.HostState(
                                    announcement(other.index),
                                    false,
                                    !now.isBefore(other.withoutLogUntil),
                                    0,
                                    0,
                                    0,
                                    0,
                                    0,
                                    LoadCounts.NONE,
                                    PartEvidence.NONE,
                                    List.of(),
                                    List.of()),
                            now));
            if (partitioned) {
                readStartedAt = Optional.empty();
                topic.unavailable(now);
                return;
            }
            if (now.isBefore(withoutLogUntil)) {
                readStartedAt = Optional.empty();
                topic.unavailable(now);
                confirmWith(hosts.get(confirmations++ % HOSTS), now);
                return;
            }
            boolean readEnded = readStartedAt
                    .filter(at -> log.size() > appliedRecords
                            || Duration.between(at, now).toMillis() >= READ_MILLISECONDS)
                    .isPresent();
            if (readEnded) {
                topic.applyRead(
                        new ForwardingEvent.TopicRead(
                                Topic.CLAIMS, readStartedAt.get(), false, List.of(), new LogPosition(0, log.size())),
                        now);
                for (; appliedRecords < log.size(); appliedRecords++) {
                    leases.applyClaim(log.get(appliedRecords), new LogPosition(0, appliedRecords), now);
                }
                leases.confirm(readStartedAt.get());
                leases.appendCompleted();
                readStartedAt = Optional.empty();
            }
            if (readStartedAt.isEmpty()) {
                readStartedAt = Optional.of(now);
            }
            leases.tick(List.of(runner()), peers, topic, false, now).ifPresent(effect -> {
                ForwardingEffect.AppendClaim append = (ForwardingEffect.AppendClaim) effect;
                if (append.expectedEnd().offset() == log.size()) {
                    log.add(append.claim());
                }
            });
        }
    }

    private void begin() {
        for (int index = 1; index <= HOSTS; index++) {
            hosts.add(new SimulatedHost(index));
        }
    }

    @Property(tries = 300, seed = "7301")
    void hostsThatTakeTurnsAreALeaseTermApart(@ForAll("seeds") long seed) {
        log.clear();
        hosts.clear();
        begin();
        Random random = new Random(seed);
        Optional<Integer> lastCommander = Optional.empty();
        Instant lastCommandAt = Instant.MIN;
        for (int step = 0; step < 60_000 / STEP_MILLISECONDS; step++) {
            Instant now = start.plusMillis((long) step * STEP_MILLISECONDS);
            if (random.nextInt(150) == 0) {
                SimulatedHost faultyHost = hosts.get(random.nextInt(HOSTS));
                Instant until = now.plusMillis(random.nextInt(9000));
                int fault = random.nextInt(3);
                if (fault == 0) {
                    faultyHost.partitionedUntil = until;
                } else if (fault == 1) {
                    faultyHost.pausedUntil = until;
                } else {
                    faultyHost.withoutLogUntil = until;
                }
            }
            for (SimulatedHost host : hosts) {
                host.step(now);
                if (host.canCommand(now)) {
                    if (lastCommander.isPresent() && lastCommander.get() != host.index) {
                        assertTrue(
                                Duration.between(lastCommandAt, now).compareTo(LEASE_TERM) >= 0,
                                "host " + host.index + " after " + lastCommander.get() + " by "
                                        + Duration.between(lastCommandAt, now));
                    }
                    lastCommander = Optional.of(host.index);
                    lastCommandAt = now;
                }
            }
        }
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs();
    }

    /** Two reads must not take longer than the lease validity; when they did, loads paused for 0.6 s in every 3.6 s. */
    @org.junit.jupiter.api.Test
    void leaseStaysValidWithoutFaults() {
        begin();
        int without = 0;
        for (int millis = 0; millis < 30_000; millis += STEP_MILLISECONDS) {
            Instant now = start.plusMillis(millis);
            hosts.forEach(host -> host.step(now));
            boolean commanded = hosts.stream().anyMatch(host -> host.canCommand(now));
            without += millis > 5000 && !commanded ? 1 : 0;
        }
        assertEquals(0, without);
    }

    @org.junit.jupiter.api.Test
    void runnerOfALostHostIsTakenOver() {
        begin();
        for (int millis = 0; millis < 5000; millis += STEP_MILLISECONDS) {
            Instant now = start.plusMillis(millis);
            hosts.forEach(host -> host.step(now));
        }
        Instant lostAt = start.plusSeconds(5);
        SimulatedHost leaseHolder = hosts.stream()
                .filter(host -> host.canCommand(lostAt))
                .findFirst()
                .orElseThrow();
        leaseHolder.pausedUntil = Instant.MAX;
        boolean taken = false;
        for (int millis = 5000; millis < 22_000; millis += STEP_MILLISECONDS) {
            Instant now = start.plusMillis(millis);
            hosts.forEach(host -> host.step(now));
            taken |= hosts.stream().anyMatch(host -> host != leaseHolder && host.canCommand(now));
        }
        assertTrue(taken);
    }
}
