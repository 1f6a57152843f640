package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/** Guards against endpoints that count as failed, and requests that are lost, because somebody reads slowly. */
class UnreadAnswerTest {
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    private final ReducerFixture fixture = new ReducerFixture();

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

    private static AttemptResult broken(AttemptResult.BrokenCause cause) {
        return new AttemptResult.Broken(cause, true, Optional.empty());
    }

    private void configure(int endpoints) {
        configure(endpoints, false);
    }

    private void configure(int endpoints, boolean idempotent) {
        fixture.configure(1, ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, false, idempotent, false));
        for (int number = 1; number <= endpoints; number++) {
            fixture.endpoint("desk-" + number, ReducerFixture.PLAIN_SERVICE, false, 1);
        }
    }

    @Test
    void endpointThatAbortsUnreadAnswersIsNotChecked() {
        configure(1);
        List<ForwardingEffect> lost = end(arrive(), broken(AttemptResult.BrokenCause.CONNECTION_LOST));
        assertEquals(
                1,
                ReducerFixture.only(lost, ForwardingEffect.CheckConnection.class)
                        .size());
        configure(1);
        List<ForwardingEffect> unread = end(arrive(), broken(AttemptResult.BrokenCause.CALLER_STALLED));
        assertEquals(
                0,
                ReducerFixture.only(unread, ForwardingEffect.CheckConnection.class)
                        .size());
        assertEquals(1, ReducerFixture.only(unread, ForwardingEffect.Fail.class).size());
    }

    @Test
    void endpointThatAbortsManyUnreadAnswersGetsTheNextRequest() {
        configure(1);
        for (int number = 0; number < 20; number++) {
            end(arrive(), broken(AttemptResult.BrokenCause.CALLER_STALLED));
        }
        arrive();
    }

    @Test
    void answerForWhichTheHostHasNoMemoryUsesNoRetry() {
        configure(2, true);
        List<ForwardingEffect> effects =
                end(arrive(), new AttemptResult.Broken(AttemptResult.BrokenCause.HOST_MEMORY, false, Optional.empty()));
        assertEquals(
                0, ReducerFixture.only(effects, ForwardingEffect.Send.class).size());
        assertEquals(
                1, ReducerFixture.only(effects, ForwardingEffect.Fail.class).size());
    }

    @Test
    void requestForAnEndpointThatDoesNotReadGoesToAnother() {
        configure(2);
        ForwardingEffect.Send send = arrive();
        ForwardingEffect.Send again = ReducerFixture.only(
                        end(send, new AttemptResult.NotRun(AttemptResult.NotRunCause.BACKLOG)),
                        ForwardingEffect.Send.class)
                .get(0);
        assertNotEquals(send.endpoint(), again.endpoint());
    }
}
