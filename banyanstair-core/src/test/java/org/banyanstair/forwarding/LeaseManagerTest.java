package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.Predicate;

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
import org.banyanstair.versions.SoftwareVersion;

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
    private final List<DelayedAppend> delayedAppends = new ArrayList<>();
    private long logEra;
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final Instant start = Instant.ofEpochSecond(1000);
    private Predicate<Instant> appendDelays = now -> false;

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
                0,
                new SoftwareVersion("v1")));
    }

    /** An append that gets no response and is executed later, if its condition still holds. */
    private record DelayedAppend(Instant at, ForwardingEffect.AppendClaim append) {}

    private void append(ForwardingEffect.AppendClaim append) {
        // The log compares offsets only.
        if (append.expectedEnd().offset() == log.size()) {
            log.add(append.claim());
        }
    }

    /** Restores the log from a copy without its last records. */
    private void restoreLog(int lostRecords) {
        logEra++;
        log.subList(Math.max(0, log.size() - lostRecords), log.size()).clear();
    }

    /** Simulates a host that can be partitioned, paused or cut off from the log. */
    private final class SimulatedHost {
        private final int index;
        private LeaseManager leases;
        private PeerTable peers;
        private TopicConsumer topic;
        private long knownEra;
        private Optional<Instant> readStartedAt = Optional.empty();
        private int appliedRecords;
        private Instant partitionedUntil = Instant.MIN;
        private Instant pausedUntil = Instant.MIN;
        private Instant withoutLogUntil = Instant.MIN;
        private boolean wasPaused;
        private int confirmations;

        SimulatedHost(int index) {
            this.index = index;
            restart(true);
        }

        /** Starts a new process, which knows nothing. */
        private void restart(boolean systemStarts) {
            leases = new LeaseManager(announcement(index).host(), LEASE_TERM, systemStarts);
            peers = new PeerTable(announcement(index));
            topic = new TopicConsumer(Topic.CLAIMS, Duration.ofMillis(READ_MILLISECONDS), Duration.ZERO);
            for (int other = 1; other <= HOSTS; other++) {
                peers.update(announcement(other), start);
            }
            knownEra = -1;
            appliedRecords = 0;
            readStartedAt = Optional.empty();
        }

        /** Learns of an era; the claims of the restored log are read afterwards. */
        private void observeEra(long era, Instant now) {
            if (era <= knownEra) {
                return;
            }
            boolean restored = knownEra >= 0;
            knownEra = era;
            appliedRecords = 0;
            readStartedAt = Optional.empty();
            leases.beginEra(era, restored, now);
            if (restored) {
                topic.beginEra(era, now, now);
            }
        }

        private void applyClaims(int count, Instant now) {
            for (; appliedRecords < count; appliedRecords++) {
                leases.applyClaim(log.get(appliedRecords), new LogPosition(knownEra, appliedRecords), now);
            }
        }

        /** Applies what a peer has read, confirmed as of the start of the peer's last read. */
        private void confirmWith(SimulatedHost peer, Instant now) {
            boolean answers = peer != this
                    && !now.isBefore(peer.partitionedUntil)
                    && !now.isBefore(peer.pausedUntil)
                    && !peer.wasPaused;
            // A peer with an older era confirms nothing; the records of one that has not read its era are unknown.
            if (answers && peer.knownEra == logEra && peer.topic.isCurrent() && knownEra == logEra) {
                applyClaims(peer.appliedRecords, now);
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
                    .peek(other -> observeEra(other.knownEra, now))
                    .peek(other -> leases.eraKnownByPeer(
                            other.knownEra, other.leases.knowsEraSettled(now), other.leases.hasSeenRestore()))
                    .forEach(other -> peers.recordState(
                            new PeerMessage.HostState(
                                    announcement(other.index),
                                    false,
                                    !now.isBefore(other.withoutLogUntil),
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
                            || !topic.isCurrent()
                            || logEra > knownEra
                            || Duration.between(at, now).toMillis() >= READ_MILLISECONDS)
                    .isPresent();
            if (readEnded && logEra > knownEra && knownEra >= 0) {
                observeEra(logEra, now);
            } else if (readEnded) {
                Instant readAt = readStartedAt.get();
                observeEra(logEra, now);
                topic.applyRead(
                        new ForwardingEvent.TopicRead(
                                Topic.CLAIMS,
                                readAt,
                                !topic.isCurrent(),
                                List.of(),
                                new LogPosition(logEra, log.size())),
                        now);
                applyClaims(log.size(), now);
                leases.confirm(readAt);
                leases.appendCompleted();
                readStartedAt = Optional.empty();
            }
            if (readStartedAt.isEmpty()) {
                readStartedAt = Optional.of(now);
            }
            leases.tick(List.of(runner()), peers, topic, false, now).ifPresent(effect -> {
                ForwardingEffect.AppendClaim append = (ForwardingEffect.AppendClaim) effect;
                if (appendDelays.test(now)) {
                    delayedAppends.add(new DelayedAppend(now.plusMillis(1500), append));
                } else {
                    append(append);
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
        playFaults(seed, 0, step -> {});
    }

    /** The copy may lack any claim, and hosts may not know that the log was restored. */
    @Property(tries = 600, seed = "7302")
    void hostsThatTakeTurnsAreALeaseTermApartOverRestoredLogs(@ForAll("seeds") long seed) {
        Random random = new Random(seed * 31);
        appendDelays = now -> random.nextInt(4) == 0;
        playFaults(seed, 1 + random.nextInt(5), step -> {
            if (random.nextInt(250) == 0) {
                int drills = random.nextInt(3) == 0 ? 2 : 1;
                for (int drill = 0; drill < drills; drill++) {
                    restoreLog(random.nextInt(4));
                }
            }
            if (random.nextInt(300) == 0) {
                hosts.get(random.nextInt(HOSTS)).restart(false);
            }
        });
    }

    private void playFaults(long seed, long firstEra, IntConsumer furtherFaults) {
        log.clear();
        hosts.clear();
        delayedAppends.clear();
        logEra = firstEra;
        begin();
        Random random = new Random(seed);
        Optional<Integer> lastCommander = Optional.empty();
        Instant lastCommandAt = Instant.MIN;
        long lastFence = -1;
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
            furtherFaults.accept(step);
            delayedAppends.stream()
                    .filter(delayed -> !now.isBefore(delayed.at()))
                    .toList()
                    .forEach(delayed -> {
                        delayedAppends.remove(delayed);
                        append(delayed.append());
                    });
            for (SimulatedHost host : hosts) {
                host.step(now);
                if (host.canCommand(now)) {
                    if (lastCommander.isPresent() && lastCommander.get() != host.index) {
                        assertTrue(
                                Duration.between(lastCommandAt, now).compareTo(LEASE_TERM) >= 0,
                                "host " + host.index + " after " + lastCommander.get() + " by "
                                        + Duration.between(lastCommandAt, now));
                    }
                    long fence = host.leases.fencingToken(RUNNER, now).orElseThrow();
                    boolean sameHost =
                            lastCommander.filter(last -> last == host.index).isPresent();
                    assertTrue(
                            fence > lastFence || fence == lastFence && sameHost,
                            "host " + host.index + " commands with " + fence + " after " + lastFence);
                    lastFence = fence;
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

    /** The holder of a lease must not stop for the wait of a takeover because the log was restored. */
    @org.junit.jupiter.api.Test
    void holderKeepsItsLeaseOverARestoredLog() {
        logEra = 1;
        for (int lostRecords = 0; lostRecords < 2; lostRecords++) {
            log.clear();
            hosts.clear();
            begin();
            int without = 0;
            for (int millis = 0; millis < 10_000; millis += STEP_MILLISECONDS) {
                Instant now = start.plusMillis(millis);
                if (millis == 6000) {
                    restoreLog(lostRecords);
                }
                hosts.forEach(host -> host.step(now));
                boolean commanded = hosts.stream().anyMatch(host -> host.canCommand(now));
                without += millis > 5000 && !commanded ? 1 : 0;
            }
            assertTrue(without <= 1000 / STEP_MILLISECONDS, without + " steps without a holder");
        }
    }

    /** A host that starts after a drill knows neither the lost claims nor who holds them. */
    @org.junit.jupiter.api.Test
    void claimOfALostClaimsRunnerIsNotSettledByAHostThatHasJustStarted() {
        logEra = 1;
        begin();
        Instant end = start.plusSeconds(5);
        for (Instant now = start; now.isBefore(end); now = now.plusMillis(STEP_MILLISECONDS)) {
            for (SimulatedHost host : hosts) {
                host.step(now);
            }
        }
        SimulatedHost holder =
                hosts.stream().filter(host -> host.canCommand(end)).findFirst().orElseThrow();
        // The holder is cut off and goes on; the others start again and find no claim.
        holder.partitionedUntil = Instant.MAX;
        restoreLog(log.size());
        hosts.stream().filter(host -> host != holder).forEach(host -> host.restart(false));
        Instant lastCommandAt = end;
        for (Instant now = end; now.isBefore(end.plusSeconds(40)); now = now.plusMillis(STEP_MILLISECONDS)) {
            for (SimulatedHost host : hosts) {
                host.step(now);
                if (host.canCommand(now)) {
                    if (host == holder) {
                        lastCommandAt = now;
                    } else {
                        assertTrue(Duration.between(lastCommandAt, now).compareTo(LEASE_TERM) >= 0);
                    }
                }
            }
        }
    }
}
