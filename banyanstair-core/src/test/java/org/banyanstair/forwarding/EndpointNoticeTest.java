package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.banyanstair.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests to endpoints that have said that they are leaving, or have asked for a pause. */
class EndpointNoticeTest {
    private static final EndpointId ENDPOINT = new EndpointId("i-1");

    private static final Duration PATIENCE = Duration.ofSeconds(5);

    private final ReducerFixture fixture = new ReducerFixture();

    private void configure(String... endpoints) {
        fixture.configure(1, ReducerFixture.route("/look/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        for (String endpoint : endpoints) {
            fixture.endpoint(endpoint, ReducerFixture.PLAIN_SERVICE, false, 1);
        }
    }

    private List<ForwardingEffect> arrive() {
        return fixture.apply(
                new ForwardingEvent.RequestArrived(fixture.request("/look/1", Optional.empty(), PATIENCE)));
    }

    private void leave() {
        fixture.apply(new ForwardingEvent.EndpointNoticeReceived(
                ENDPOINT, fixture.now(), new EndpointNotice(true, Optional.empty(), Optional.empty())));
    }

    private void pause(Duration time) {
        fixture.apply(new ForwardingEvent.EndpointNoticeReceived(
                ENDPOINT,
                fixture.now(),
                new EndpointNotice(false, Optional.of(fixture.now().plus(time)), Optional.empty())));
    }

    private static List<ForwardingEffect.Send> sends(List<ForwardingEffect> effects) {
        return ReducerFixture.only(effects, ForwardingEffect.Send.class);
    }

    private static RefusalReason refusal(List<ForwardingEffect> effects) {
        return ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                .get(0)
                .reason();
    }

    @Test
    void leavingEndpointGetsNoRequestAlthoughTheRegistryListsIt() {
        configure("i-1", "i-2");
        leave();
        fixture.endpoint("i-1", ReducerFixture.PLAIN_SERVICE, false, 1);
        for (int request = 0; request < 8; request++) {
            assertEquals(new EndpointId("i-2"), sends(arrive()).get(0).endpoint());
        }
    }

    @Test
    void restartedEndpointIsUsedAgain() {
        configure("i-1");
        leave();
        assertEquals(RefusalReason.NO_ENDPOINT, refusal(arrive()));
        Instant sentBefore = fixture.now();
        fixture.pass(Duration.ofMillis(100));
        fixture.endpoint("i-1", ReducerFixture.PLAIN_SERVICE, false, 2);
        fixture.apply(new ForwardingEvent.EndpointNoticeReceived(
                ENDPOINT, sentBefore, new EndpointNotice(true, Optional.empty(), Optional.empty())));
        assertEquals(1, sends(arrive()).size(), "a notice of the process before must not count");
    }

    @Test
    void requestsAreRefusedAtOnceWhileAllEndpointsArePaused() {
        configure("i-1");
        pause(Duration.ofSeconds(3));
        List<ForwardingEffect> effects = arrive();
        assertEquals(RefusalReason.ENDPOINTS_PAUSED, refusal(effects));
        Duration retryAfter = ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                .get(0)
                .retryAfter()
                .orElseThrow();
        assertTrue(retryAfter.compareTo(Duration.ofSeconds(3)) >= 0, retryAfter.toString());
    }

    @Test
    void requestsReturnAfterThePauseAFewAtFirst() {
        configure("i-1");
        pause(Duration.ofSeconds(1));
        fixture.pass(Duration.ofMillis(1150));
        assertEquals(1, sends(arrive()).size());
        ForwardingEffect.Send second = sends(arrive()).get(0);
        assertEquals(0, sends(arrive()).size());
        fixture.apply(new ForwardingEvent.AttemptEnded(
                second.exchange(), second.attempt(), new AttemptResult.Answered(200, Duration.ZERO)));
        assertEquals(1, sends(arrive()).size());
    }

    @Test
    void requestsReturnIfNoTrialEnds() {
        configure("i-1");
        pause(Duration.ofSeconds(1));
        fixture.pass(Duration.ofMillis(1150));
        arrive();
        arrive();
        fixture.pass(Duration.ofMillis(600));
        assertEquals(1, sends(arrive()).size());
    }

    @Test
    void runnerInAPauseGetsNoCommand() {
        fixture.configureEngine(2, ReducerFixture.route("/look/", ReducerFixture.SERVICE, true, true, true));
        fixture.endpoint("i-1", ReducerFixture.SERVICE, false, 1);
        pause(Duration.ofSeconds(4));
        List<ForwardingEffect> effects = fixture.pass(Duration.ofSeconds(3));
        assertEquals(List.of(), ReducerFixture.only(effects, ForwardingEffect.Command.class));
        assertEquals(List.of(), ReducerFixture.only(effects, ForwardingEffect.Inspect.class));
    }

    /** Pauses of random lengths at random moments; a pause lasts at least until each end that was asked for. */
    @Property(tries = 300)
    void noRequestIsSentBeforeTheEndOfAnyPause(
            @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 0, max = 4000) Integer> pauses,
            @ForAll @IntRange(min = 20, max = 900) int step) {
        ReducerFixture host = new ReducerFixture();
        host.configure(1, ReducerFixture.route("/look/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        host.endpoint("i-1", ReducerFixture.PLAIN_SERVICE, false, 1);
        Instant latestEnd = Instant.MIN;
        for (int milliseconds : pauses) {
            Instant end = host.now().plusMillis(milliseconds);
            host.apply(new ForwardingEvent.EndpointNoticeReceived(
                    ENDPOINT, host.now(), new EndpointNotice(false, Optional.of(end), Optional.empty())));
            latestEnd = end.isAfter(latestEnd) ? end : latestEnd;
            List<ForwardingEffect> effects =
                    host.apply(new ForwardingEvent.RequestArrived(host.request("/look/1", Optional.empty(), PATIENCE)));
            assertFalse(host.now().isBefore(latestEnd) && !sends(effects).isEmpty(), "sent in a pause");
            host.pass(Duration.ofMillis(step));
        }
    }
}
