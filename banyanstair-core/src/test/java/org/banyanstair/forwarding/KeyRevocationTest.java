package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.banyanstair.external.Topic;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.teams.KnowledgeSource;
import org.banyanstair.teams.TeamSettings;
import org.banyanstair.teams.TeamTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that use a key later than the revocation term after it was taken away. */
class KeyRevocationTest {
    /** More hosts than exchange messages directly. */
    private static final int MANY_HOSTS = 20;

    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

    /** Time after the last confirmation for which keys are accepted. */
    private static final Duration USABLE = KeyFleet.TERM.multipliedBy(9).dividedBy(10);

    private static KeyFleet settledFleet(int hosts) {
        return settledFleet(hosts, KeyFleet.strict());
    }

    private static KeyFleet settledFleet(int hosts, TeamSettings terms) {
        KeyFleet fleet = new KeyFleet(hosts, 7, terms);
        fleet.pass(SETTLING_TIME);
        fleet.hosts().forEach(KeyFleet.Host::takeEffects);
        return fleet;
    }

    private static long logLines(KeyFleet.Host host, String kind) {
        return ReducerFixture.only(host.takeEffects(), ForwardingEffect.Log.class).stream()
                .filter(effect -> effect.decision().kind().equals(kind))
                .count();
    }

    /** Keys must not be refused now and then because confirmations come too late. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, MANY_HOSTS})
    void keysAreAcceptedThroughoutWithoutFaults(int hosts) {
        KeyFleet fleet = settledFleet(hosts);
        Duration oldest = Duration.ZERO;
        for (int step = 0; step < 1000; step++) {
            fleet.step();
            for (KeyFleet.Host host : fleet.hosts()) {
                assertTrue(host.keys().accepted(), "after " + step + " steps");
                Duration age = host.keys().age().orElseThrow();
                oldest = age.compareTo(oldest) > 0 ? age : oldest;
            }
        }
        assertTrue(oldest.compareTo(USABLE.minusSeconds(1)) < 0, "oldest knowledge: " + oldest);
    }

    /** In a large deployment only some hosts read the log regularly, since reads are billed. */
    @Test
    void hostsOfALargeDeploymentAskPeersInsteadOfTheLog() {
        KeyFleet fleet = settledFleet(MANY_HOSTS);
        fleet.pass(Duration.ofSeconds(20));
        long reading = fleet.hosts().stream()
                .filter(host -> ReducerFixture.only(host.takeEffects(), ForwardingEffect.ReadFrom.class).stream()
                                .filter(read -> read.topic() == Topic.CONFIGURATION)
                                .count()
                        > 4)
                .count();
        assertEquals(3, reading);
    }

    /** A deployment without strict revocation, or without teams, must not pay for it. */
    @Test
    void nothingIsReadOrAskedWithoutStrictRevocationOrTeams() {
        KeyFleet lenient = settledFleet(4, TeamSettings.DEFAULT);
        KeyFleet withoutTeams = new KeyFleet(4, 7, KeyFleet.strict());
        withoutTeams.publish(TeamTable.NONE);
        withoutTeams.pass(SETTLING_TIME);
        withoutTeams.hosts().forEach(KeyFleet.Host::takeEffects);
        for (KeyFleet fleet : List.of(lenient, withoutTeams)) {
            fleet.setLogAvailable(true);
            fleet.pass(Duration.ofSeconds(20));
            for (KeyFleet.Host host : fleet.hosts()) {
                List<ForwardingEffect> effects = host.takeEffects();
                assertTrue(ReducerFixture.only(effects, ForwardingEffect.SendToPeer.class).stream()
                        .noneMatch(sent -> sent.message() instanceof PeerMessage.RecordsRequest));
                long reads = ReducerFixture.only(effects, ForwardingEffect.ReadFrom.class).stream()
                        .filter(read -> read.topic() == Topic.CONFIGURATION)
                        .count();
                assertTrue(reads <= 4, reads + " reads that wait 6 s, in 20 s");
            }
        }
        lenient.setLogAvailable(false);
        lenient.pass(Duration.ofSeconds(20));
        assertTrue(lenient.hosts().get(0).accepts(), "the age does not matter without strict revocation");
    }

    @ParameterizedTest
    @ValueSource(ints = {4, MANY_HOSTS})
    void hostWithoutTheLogIsConfirmedByPeers(int hosts) {
        KeyFleet fleet = settledFleet(hosts);
        KeyFleet.Host host = fleet.hosts().get(0);
        host.setReachesLog(false);
        for (int step = 0; step < 1000; step++) {
            fleet.step();
            assertTrue(host.accepts(), "after " + step + " steps");
        }
        assertEquals(Optional.of(KnowledgeSource.PEER), host.keys().source());
        fleet.publish(false);
        fleet.pass(KeyFleet.TERM);
        assertEquals(RefusalReason.UNKNOWN_KEY, host.refusal(KeyFleet.KEYED_PATH));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, MANY_HOSTS})
    void outageOfTheLogForAllEndsKeyedRequestsOnly(int hosts) {
        KeyFleet fleet = settledFleet(hosts);
        fleet.setLogAvailable(false);
        Instant outageAt = fleet.now();
        while (fleet.now().isBefore(outageAt.plus(Duration.ofMillis(1500)))) {
            fleet.step();
            fleet.hosts().forEach(host -> assertTrue(host.accepts()));
        }
        fleet.pass(USABLE);
        for (KeyFleet.Host host : fleet.hosts()) {
            assertEquals(RefusalReason.KEYS_UNCONFIRMED, host.refusal(KeyFleet.KEYED_PATH));
            assertEquals(RefusalReason.NO_ENDPOINT, host.refusal(KeyFleet.OPEN_PATH));
            assertEquals(1, logLines(host, "keys-unconfirmed"));
        }
        fleet.setLogAvailable(true);
        fleet.pass(SETTLING_TIME);
        for (KeyFleet.Host host : fleet.hosts()) {
            assertTrue(host.accepts());
            assertEquals(1, logLines(host, "keys-confirmed"));
        }
    }

    /** The last read may have started just before the revocation, and the term counts from its acknowledgement. */
    @ParameterizedTest
    @ValueSource(ints = {4, MANY_HOSTS})
    void hostThatIsCutOffAcceptsNoKeyAfterTheTerm(int hosts) {
        KeyFleet fleet = settledFleet(hosts);
        for (KeyFleet.Host host : fleet.hosts()) {
            fleet.step();
            host.setReachesLog(false);
            host.setReachesPeers(false);
        }
        fleet.pass(KeyFleet.TERM.minus(KeyFleet.STEP.multipliedBy(hosts)));
        fleet.hosts().forEach(host -> assertEquals(RefusalReason.KEYS_UNCONFIRMED, host.refusal(KeyFleet.KEYED_PATH)));
    }

    /** Keys must be refused when the last tenth of the term begins, and not before. */
    @Test
    void keysAreAcceptedForNineTenthsOfTheTermAfterTheLastConfirmation() {
        KeyFleet fleet = settledFleet(1);
        KeyFleet.Host host = fleet.hosts().get(0);
        host.setReachesLog(false);
        for (Instant end = fleet.now().plus(KeyFleet.TERM.multipliedBy(2));
                fleet.now().isBefore(end);
                fleet.step()) {
            boolean usable = host.keys().age().orElseThrow().compareTo(USABLE) < 0;
            assertEquals(usable, host.accepts());
        }
        assertFalse(host.accepts());
    }

    /** Hosts of a large deployment must not depend on the hosts that read for them. */
    @Test
    void hostsReadTheLogThemselvesWhileNoPeerResponds() {
        KeyFleet fleet = settledFleet(MANY_HOSTS);
        fleet.setMessageDelay(message -> isQuery(message) ? -1 : 5);
        for (int step = 0; step < 1000; step++) {
            fleet.step();
            for (KeyFleet.Host host : fleet.hosts()) {
                assertTrue(host.keys().accepted(), "after " + step + " steps");
            }
        }
        fleet.hosts()
                .forEach(host -> assertEquals(
                        Optional.of(KnowledgeSource.LOG), host.keys().source()));
    }

    private static boolean isQuery(PeerMessage message) {
        return message instanceof PeerMessage.RecordsRequest
                || message instanceof PeerMessage.Routed routed && isQuery(routed.message());
    }

    /** A host that lacks records of its peer does not know what the peer knows. */
    @Test
    void responseThatLeavesAGapConfirmsNothing() {
        KeyFleet fleet = settledFleet(2);
        KeyFleet.Host host = fleet.hosts().get(0);
        fleet.setMessageChange(message -> message instanceof PeerMessage.RecordsReply reply
                ? new PeerMessage.RecordsReply(
                        reply.topic(),
                        reply.end() + 1,
                        reply.era(),
                        reply.records(),
                        reply.end() + 1,
                        reply.outageAgeMilliseconds(),
                        reply.askedAtMilliseconds(),
                        reply.ageMilliseconds(),
                        Optional.empty())
                : message);
        host.setReachesLog(false);
        fleet.pass(KeyFleet.TERM);
        assertEquals(RefusalReason.KEYS_UNCONFIRMED, host.refusal(KeyFleet.KEYED_PATH));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void frozenHostAcceptsNoKeyUntilItIsConfirmedAgain(boolean clockStops) {
        KeyFleet fleet = settledFleet(4);
        KeyFleet.Host host = fleet.hosts().get(0);
        List<RefusalReason> reasons = new ArrayList<>();
        host.freeze(Duration.ofSeconds(6), clockStops);
        fleet.publish(false);
        fleet.pass(Duration.ofMillis(5500));
        host.request(KeyFleet.KEYED_PATH, reasons::add);
        host.request(KeyFleet.OPEN_PATH, reasons::add);
        fleet.pass(Duration.ofSeconds(1));
        assertEquals(List.of(RefusalReason.KEYS_UNCONFIRMED, RefusalReason.NO_ENDPOINT), reasons);
        fleet.pass(Duration.ofSeconds(1));
        assertEquals(RefusalReason.UNKNOWN_KEY, host.refusal(KeyFleet.KEYED_PATH));
    }

    /** A response that was under way while the process was frozen says nothing about the time since then. */
    @Test
    void responseFromBeforeASuspensionConfirmsNothing() {
        KeyFleet fleet = settledFleet(2);
        KeyFleet.Host host = fleet.hosts().get(0);
        host.setReachesLog(false);
        fleet.setMessageDelay(message -> message instanceof PeerMessage.RecordsReply ? 1000 : 5);
        fleet.pass(Duration.ofSeconds(2));
        fleet.setMessageDelay(message -> message instanceof PeerMessage.RecordsRequest ? -1 : 5);
        host.freeze(Duration.ofSeconds(3), true);
        fleet.publish(false);
        for (int step = 0; step < 200; step++) {
            fleet.step();
        }
        assertEquals(RefusalReason.KEYS_UNCONFIRMED, host.refusal(KeyFleet.KEYED_PATH));
    }

    /** The age of a response counts from the query, however long the response was under way. */
    @Test
    void delayedResponseIsDatedToTheQuery() {
        KeyFleet fleet = settledFleet(2);
        KeyFleet.Host host = fleet.hosts().get(0);
        host.setReachesLog(false);
        fleet.pass(SETTLING_TIME);
        fleet.setMessageDelay(message -> message instanceof PeerMessage.RecordsReply ? 4600 : 5);
        fleet.pass(Duration.ofSeconds(8));
        assertEquals(RefusalReason.KEYS_UNCONFIRMED, host.refusal(KeyFleet.KEYED_PATH));
    }

    @Test
    void peerWithOldKnowledgeConfirmsNothing() {
        KeyFleet fleet = settledFleet(3);
        fleet.hosts().forEach(host -> host.setReachesLog(false));
        fleet.pass(KeyFleet.TERM);
        fleet.hosts().forEach(host -> assertEquals(RefusalReason.KEYS_UNCONFIRMED, host.refusal(KeyFleet.KEYED_PATH)));
        fleet.hosts().get(2).setReachesLog(true);
        fleet.pass(SETTLING_TIME);
        fleet.hosts().forEach(host -> assertTrue(host.accepts(), "one host that reads the log confirms all"));
    }

    @Test
    void restartedHostIsConfirmedByItsFirstReadOrByAPeer() {
        KeyFleet fleet = settledFleet(4);
        KeyFleet.Host host = fleet.hosts().get(0);
        host.restart();
        assertFalse(host.accepts());
        fleet.pass(Duration.ofSeconds(1));
        assertEquals(Optional.of(KnowledgeSource.LOG), host.keys().source());
        assertTrue(host.accepts());
        host.setReachesLog(false);
        host.restart();
        assertFalse(host.accepts());
        fleet.pass(SETTLING_TIME);
        assertEquals(Optional.of(KnowledgeSource.PEER), host.keys().source());
        assertTrue(host.accepts());
    }

    /**
     * No request that is sent later than the term after the revocation is accepted, over random reads, messages and
     * their delays, suspensions, restarts and partitions.
     */
    @Property(tries = 60, seed = "4711", shrinking = ShrinkingMode.OFF)
    void revokedKeyIsNotAcceptedAfterTheTerm(@ForAll long seed) {
        play(new KeyFleet(4, seed, KeyFleet.strict()), Duration.ofSeconds(40));
    }

    /** The same over relays. */
    @Property(tries = 4, seed = "4712", shrinking = ShrinkingMode.OFF)
    void revokedKeyIsNotAcceptedAfterTheTermInALargeDeployment(@ForAll long seed) {
        play(new KeyFleet(MANY_HOSTS, seed, KeyFleet.strict()), Duration.ofSeconds(25));
    }

    private static void play(KeyFleet fleet, Duration time) {
        fleet.setMessageDelay(message -> delay(fleet));
        Instant end = fleet.now().plus(time);
        Optional<Instant> revokedAt = Optional.empty();
        while (fleet.now().isBefore(end)) {
            fleet.step();
            if (fleet.random().nextInt(300) == 0) {
                boolean valid = revokedAt.isPresent() && fleet.random().nextInt(3) == 0;
                fleet.publish(valid);
                revokedAt = valid ? Optional.empty() : Optional.of(revokedAt.orElse(fleet.now()));
            }
            disturb(fleet);
            boolean mayBeAccepted =
                    revokedAt.isEmpty() || !fleet.now().isAfter(revokedAt.get().plus(KeyFleet.TERM));
            Instant sentAt = fleet.now();
            Optional<Instant> revocation = revokedAt;
            for (KeyFleet.Host host : fleet.hosts()) {
                host.request(KeyFleet.KEYED_PATH, reason -> {
                    boolean accepted = reason == RefusalReason.NO_ENDPOINT;
                    assertTrue(!accepted || mayBeAccepted, "sent at " + sentAt + ", revoked at " + revocation);
                });
            }
        }
    }

    private static int delay(KeyFleet fleet) {
        int kind = fleet.random().nextInt(10);
        return kind == 0
                ? -1
                : kind == 1 ? fleet.random().nextInt(8000) : fleet.random().nextInt(60);
    }

    private static void disturb(KeyFleet fleet) {
        for (KeyFleet.Host host : fleet.hosts()) {
            switch (fleet.random().nextInt(1500)) {
                case 0 -> host.freeze(Duration.ofMillis(fleet.random().nextInt(7000)), false);
                case 1 -> host.freeze(Duration.ofMillis(fleet.random().nextInt(7000)), true);
                case 2 -> host.setReachesLog(false);
                case 3, 4 -> host.setReachesLog(true);
                case 5 -> host.setReachesPeers(false);
                case 6, 7 -> host.setReachesPeers(true);
                case 8 -> host.restart();
                case 9, 10 -> {
                    host.setReachesLog(false);
                    host.setReachesPeers(false);
                }
                default -> {
                    // No disturbance.
                }
            }
        }
        int ofAll = fleet.random().nextInt(1500);
        if (ofAll <= 2) {
            fleet.setLogAvailable(ofAll != 0);
        }
    }
}
