package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against live endpoints that are taken for crashed because their connections are reset. */
class UnopenedConnectionTest {
    private static final EndpointId ENDPOINT = new EndpointId("desk-1");

    private static final Duration PATIENCE = Duration.ofSeconds(9);

    private final ReducerFixture fixture = new ReducerFixture();

    UnopenedConnectionTest() {
        fixture.configure(1, ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, false, false, false));
        fixture.endpoint(ENDPOINT.value(), ReducerFixture.PLAIN_SERVICE, false, 1);
    }

    private ForwardingEffect.Send arrive() {
        return ReducerFixture.only(
                        fixture.apply(new ForwardingEvent.RequestArrived(
                                fixture.request("/x/1", Optional.empty(), PATIENCE), Optional.empty())),
                        ForwardingEffect.Send.class)
                .get(0);
    }

    private List<ForwardingEffect> end(ForwardingEffect.Send send, AttemptResult result) {
        return fixture.apply(new ForwardingEvent.AttemptEnded(send.exchange(), send.attempt(), result));
    }

    /** Ends a request in a lost connection, and then another with a cause. */
    private List<ForwardingEffect> loseConnectionAndEnd(AttemptResult.NotRunCause cause) {
        ForwardingEffect.Send lost = arrive();
        ForwardingEffect.Send next = arrive();
        List<ForwardingEffect> effects = new ArrayList<>(
                end(lost, new AttemptResult.Broken(AttemptResult.BrokenCause.CONNECTION_LOST, true, Optional.empty())));
        effects.addAll(end(next, new AttemptResult.NotRun(cause)));
        return effects;
    }

    private static long crashes(List<ForwardingEffect> effects) {
        return ReducerFixture.only(effects, ForwardingEffect.Log.class).stream()
                .filter(log -> log.decision().kind().equals("endpoint-crashed"))
                .count();
    }

    private static int checks(List<ForwardingEffect> effects) {
        return ReducerFixture.only(effects, ForwardingEffect.CheckConnection.class)
                .size();
    }

    @Test
    void endpointWhoseConnectionsAreResetHasNotCrashed() {
        assertEquals(0, crashes(loseConnectionAndEnd(AttemptResult.NotRunCause.NOT_CONNECTED)));
    }

    @Test
    void endpointThatRefusesAConnectionHasCrashed() {
        assertEquals(1, crashes(loseConnectionAndEnd(AttemptResult.NotRunCause.REFUSED)));
    }

    @Test
    void endpointThatCrashesAfterItsCheckIsCheckedAgain() {
        assertEquals(1, checks(loseConnectionAndEnd(AttemptResult.NotRunCause.NOT_CONNECTED)));
        assertEquals(1, checks(fixture.pass(Duration.ofSeconds(1))));
        assertEquals(1, crashes(fixture.apply(new ForwardingEvent.ConnectionRefused(ENDPOINT, 1))));
    }
}
