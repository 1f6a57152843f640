package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.peer.RelayedRecord;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against requests that run with the previous version of an adapter too long after the new one was published.
 *
 * <p>The term is 5 s in the fixture; the previous version is in use for the first half of it.
 */
class AdapterVersionTest {
    private static final HostIdentity PEER = new HostIdentity(new HostId("host-2"), 1);

    private static final String KEY = "version/a1";

    private final ReducerFixture fixture = new ReducerFixture();

    private void configure() {
        fixture.configure(1, ReducerFixture.route("/chat", ReducerFixture.SERVICE, true, true, true));
        fixture.endpoint("runner-1", ReducerFixture.SERVICE, false, 1, "a1");
    }

    private void publishSecondVersion() {
        fixture.publish(Topic.CONFIGURATION, KEY, new DecodedRecord.AdapterVersionPublished(ReducerFixture.ADAPTER, 2));
    }

    /** Sends a request and returns whether it went to the runner that has the first version. */
    private boolean usesFirstVersion() {
        ForwardRequest request = fixture.request("/chat", Optional.of(ReducerFixture.ADAPTER), Duration.ofSeconds(4));
        return !ReducerFixture.only(
                        fixture.apply(new ForwardingEvent.RequestArrived(request)), ForwardingEffect.Send.class)
                .isEmpty();
    }

    @Test
    void previousVersionIsUsedForHalfOfTheTerm() {
        configure();
        publishSecondVersion();
        assertTrue(usesFirstVersion());
        fixture.pass(Duration.ofMillis(2400));
        assertTrue(usesFirstVersion());
        fixture.pass(Duration.ofMillis(200));
        assertFalse(usesFirstVersion());
    }

    @Test
    void versionInTheFirstReadMayHaveBeenPublishedLongAgo() {
        publishSecondVersion();
        configure();
        assertFalse(usesFirstVersion());
    }

    @Test
    void versionReadAfterAnOutageMayHaveBeenPublishedDuringIt() {
        configure();
        fixture.apply(new ForwardingEvent.TopicUnavailable(Topic.CONFIGURATION));
        publishSecondVersion();
        assertFalse(usesFirstVersion());
    }

    @Test
    void versionReadAfterASuspensionMayHaveBeenPublishedDuringIt() {
        configure();
        fixture.apply(new ForwardingEvent.ClockGap());
        publishSecondVersion();
        assertFalse(usesFirstVersion());
    }

    @Test
    void versionThatAPeerRelaysAtOnceIsNew() {
        configure();
        relaySecondVersion(Optional.empty());
        assertTrue(usesFirstVersion());
    }

    @Test
    void versionThatAPeerReturnsOnRequestMayHaveBeenPublishedLongAgo() {
        configure();
        relaySecondVersion(Optional.of(fixture.now().toEpochMilli()));
        assertFalse(usesFirstVersion());
    }

    private void relaySecondVersion(Optional<Long> askedAt) {
        long offset = fixture.nextOffset();
        fixture.define(KEY, new DecodedRecord.AdapterVersionPublished(ReducerFixture.ADAPTER, 2));
        RelayedRecord entry = new RelayedRecord(KEY, new byte[] {1}, false, offset);
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
                PEER,
                new PeerMessage.RecordsReply(
                        Topic.CONFIGURATION,
                        1,
                        0,
                        List.of(entry),
                        offset + 1,
                        Optional.empty(),
                        askedAt,
                        1,
                        Optional.empty())));
    }
}
