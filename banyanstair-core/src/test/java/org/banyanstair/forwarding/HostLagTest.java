package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against decisions of a host that is behind which take its own lag for that of others. */
class HostLagTest {
    private static final Duration PATIENCE = Duration.ofSeconds(3);

    private static final Duration STANDSTILL = Duration.ofSeconds(2);

    private final ReducerFixture fixture = new ReducerFixture();

    @BeforeEach
    void configure() {
        fixture.configure(1, ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        fixture.endpoint("desk-1", ReducerFixture.PLAIN_SERVICE, false, 1);
        fixture.endpoint("desk-2", ReducerFixture.PLAIN_SERVICE, false, 1);
        fixture.pass(Duration.ofMillis(500));
    }

    private List<ForwardingEffect> arrive(Duration readDelay) {
        ForwardRequest request = fixture.request("/x/1", Optional.empty(), PATIENCE.minus(readDelay));
        return fixture.apply(new ForwardingEvent.RequestArrived(
                request, Optional.of(fixture.now().minus(readDelay))));
    }

    private static int sends(List<ForwardingEffect> effects) {
        return ReducerFixture.only(effects, ForwardingEffect.Send.class).size();
    }

    @Test
    void unreadAnswerIsNotTakenForSilenceAfterAStandstill() {
        ForwardingEffect.Send send = ReducerFixture.only(arrive(Duration.ZERO), ForwardingEffect.Send.class)
                .get(0);
        fixture.standStill(STANDSTILL);
        assertEquals(0, sends(fixture.apply(new ForwardingEvent.Tick())));
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.AttemptEnded(
                send.exchange(), send.attempt(), new AttemptResult.Answered(200, Duration.ZERO)));
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Deliver.class).size());
    }

    @Test
    void requestThatCannotBeAnsweredWithinARoundOfTheLoopIsRefusedAtOnce() {
        for (int round = 0; round < 3; round++) {
            fixture.standStill(Duration.ofMillis(1200));
            fixture.apply(new ForwardingEvent.Tick());
        }
        List<ForwardingEffect> effects = arrive(Duration.ofMillis(2000));
        assertEquals(
                RefusalReason.OVERLOADED,
                ReducerFixture.only(effects, ForwardingEffect.Refuse.class)
                        .get(0)
                        .reason());
        assertEquals(1, sends(arrive(Duration.ofMillis(1200))));
    }

    @Test
    void streamThatMayHaveArrivedLaterIsNotCutOffInItsAnswer() {
        fixture.configure(2, ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, true, true, false));
        fixture.standStill(STANDSTILL);
        ForwardingEffect.Send send = ReducerFixture.only(arrive(STANDSTILL), ForwardingEffect.Send.class)
                .get(0);
        assertEquals(fixture.now().plus(PATIENCE), send.deadline());
        assertEquals(fixture.now().plus(PATIENCE).minus(STANDSTILL), send.sendBefore());
        fixture.apply(new ForwardingEvent.FirstOutput(send.exchange(), send.attempt()));
        List<ForwardingEffect> effects = fixture.pass(PATIENCE.minusMillis(100));
        assertEquals(
                0, ReducerFixture.only(effects, ForwardingEffect.Fail.class).size());
        assertEquals(
                1,
                ReducerFixture.only(fixture.pass(Duration.ofMillis(200)), ForwardingEffect.Fail.class)
                        .size());
    }

    @Test
    void streamThatIsResumedIsNotCutOffBeforeItsLatestDeadline() {
        fixture.configure(2, ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, true, true, true));
        fixture.standStill(STANDSTILL);
        ForwardingEffect.Send first = ReducerFixture.only(arrive(STANDSTILL), ForwardingEffect.Send.class)
                .get(0);
        fixture.apply(new ForwardingEvent.FirstOutput(first.exchange(), first.attempt()));
        fixture.pass(Duration.ofMillis(800));
        List<ForwardingEffect> resumed = fixture.apply(new ForwardingEvent.AttemptEnded(
                first.exchange(),
                first.attempt(),
                new AttemptResult.Broken(AttemptResult.BrokenCause.CONNECTION_LOST, true, Optional.of(1L))));
        assertEquals(1, sends(resumed));
        List<ForwardingEffect> effects = fixture.pass(Duration.ofMillis(400));
        assertEquals(
                0, ReducerFixture.only(effects, ForwardingEffect.Fail.class).size());
    }

    @Test
    void requestIsSentAfterASingleStandstill() {
        fixture.standStill(STANDSTILL);
        assertEquals(1, sends(arrive(STANDSTILL)));
    }
}
