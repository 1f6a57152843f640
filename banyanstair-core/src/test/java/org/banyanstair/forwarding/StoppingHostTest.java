package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against requests that a stopping host accepts and then cuts off in the middle of their answers. */
class StoppingHostTest {
    private static final Duration ESTIMATE_PERIOD = Duration.ofSeconds(2);

    private static final Duration STOP_TIME = Duration.ofSeconds(7);

    /** Longer than any of these tests. */
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private final ReducerFixture fixture = new ReducerFixture();

    @BeforeEach
    void configure() {
        Route stream = new Route(
                "/note/",
                "shop",
                "/note/",
                true,
                false,
                false,
                Duration.ofSeconds(15),
                Duration.ofSeconds(1),
                Duration.ofSeconds(4),
                1,
                1,
                false,
                List.of(new RouteTarget(ReducerFixture.PLAIN_SERVICE, 1)));
        Route call = ReducerFixture.route("/order/", ReducerFixture.PLAIN_SERVICE, false, false, false);
        fixture.configure(1, stream, call);
        fixture.endpoint("i-1", ReducerFixture.PLAIN_SERVICE, false, 1);
    }

    private List<ForwardingEffect> arrive(String path, Duration patience) {
        return fixture.apply(new ForwardingEvent.RequestArrived(fixture.request(path, Optional.empty(), patience)));
    }

    private void stop() {
        Instant now = fixture.now();
        fixture.apply(
                new ForwardingEvent.StopRequested(new StopSchedule(now.plus(ESTIMATE_PERIOD), now.plus(STOP_TIME))));
    }

    /** Lets a stream run for a time, so that the host knows how long such streams take. */
    private void runStream(Duration time) {
        ForwardingEffect.Send send = ReducerFixture.only(arrive("/note/1", PATIENCE), ForwardingEffect.Send.class)
                .get(0);
        fixture.pass(Duration.ofMillis(100));
        fixture.apply(new ForwardingEvent.FirstOutput(send.exchange(), send.attempt()));
        fixture.pass(time);
        fixture.apply(new ForwardingEvent.AttemptEnded(
                send.exchange(), send.attempt(), new AttemptResult.Answered(200, Duration.ZERO)));
    }

    private static void assertRefused(List<ForwardingEffect> effects) {
        assertEquals(List.of(), ReducerFixture.only(effects, ForwardingEffect.Send.class));
        ForwardingEffect.Refuse refusal =
                ReducerFixture.only(effects, ForwardingEffect.Refuse.class).get(0);
        assertEquals(RefusalReason.STOPPING, refusal.reason());
        assertEquals(Optional.of(RetryAfterPolicy.NOT_READY_DELAY), refusal.retryAfter());
    }

    private static void assertSent(List<ForwardingEffect> effects) {
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Send.class).size());
    }

    @Test
    void lateStreamIsRefusedAlthoughItMayEndInTime() {
        runStream(Duration.ofSeconds(1));
        stop();
        fixture.pass(ESTIMATE_PERIOD.plusMillis(500));
        assertRefused(arrive("/note/1", PATIENCE));
    }

    @Test
    void lateRequestWhoseDeadlineIsBeforeTheStopIsSent() {
        stop();
        fixture.pass(ESTIMATE_PERIOD.plusMillis(500));
        assertSent(arrive("/order/1", Duration.ofSeconds(1)));
        assertSent(arrive("/note/1", Duration.ofSeconds(4)));
    }

    @Test
    void earlyStreamThatIsExpectedToEndInTimeIsSent() {
        runStream(Duration.ofSeconds(2));
        stop();
        fixture.pass(Duration.ofSeconds(1));
        assertSent(arrive("/note/1", PATIENCE));
    }

    @Test
    void earlyStreamThatIsNotExpectedToEndInTimeIsRefused() {
        runStream(Duration.ofSeconds(6));
        stop();
        assertRefused(arrive("/note/1", PATIENCE));
    }

    @Test
    void streamOfUnknownLengthIsRefused() {
        stop();
        assertRefused(arrive("/note/1", PATIENCE));
    }

    @Test
    void longStreamOfLongAgoIsForgotten() {
        runStream(Duration.ofSeconds(6));
        fixture.pass(Duration.ofSeconds(50));
        runStream(Duration.ofSeconds(1));
        stop();
        assertSent(arrive("/note/1", PATIENCE));
    }
}
