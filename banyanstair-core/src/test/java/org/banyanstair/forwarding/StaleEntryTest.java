package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that are sent to an address again and again where another process answers. */
class StaleEntryTest {
    private static final String STALE = "desk-1";

    private static final Duration INTERVAL = Duration.ofMillis(100);

    private static final int REQUESTS = 100;

    /** One, and one after each pause, which are at least twice as long as the one before. */
    private static final int EXPECTED_REJECTIONS = 8;

    private final ReducerFixture fixture = new ReducerFixture();
    private int refused;

    @BeforeEach
    void configure() {
        fixture.configure(1, ReducerFixture.route("/x/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        listStale();
        fixture.endpoint("desk-2", ReducerFixture.PLAIN_SERVICE, false, 1);
    }

    private void listStale() {
        fixture.endpoint(STALE, ReducerFixture.PLAIN_SERVICE, false, 1);
    }

    /** Sends requests, of which another process rejects those for the stale entry; returns how many it rejected. */
    private int rejections(int requests, boolean stale) {
        int rejections = 0;
        for (int number = 0; number < requests; number++) {
            List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(
                    fixture.request("/x/" + number, Optional.empty(), Duration.ofSeconds(5))));
            List<ForwardingEffect.Send> sends = ReducerFixture.only(effects, ForwardingEffect.Send.class);
            while (!sends.isEmpty()) {
                ForwardingEffect.Send send = sends.get(0);
                boolean atStale = send.endpoint().value().equals(STALE);
                rejections += atStale ? 1 : 0;
                effects = fixture.apply(new ForwardingEvent.AttemptEnded(
                        send.exchange(),
                        send.attempt(),
                        atStale && stale
                                ? new AttemptResult.NotRun(AttemptResult.NotRunCause.NOT_HERE)
                                : new AttemptResult.Answered(200, Duration.ZERO)));
                sends = ReducerFixture.only(effects, ForwardingEffect.Send.class);
            }
            refused +=
                    ReducerFixture.only(effects, ForwardingEffect.Refuse.class).size();
            fixture.pass(INTERVAL);
        }
        return rejections;
    }

    @Test
    void addressOfAnotherProcessIsTriedLessAndLess() {
        int rejections = rejections(REQUESTS, true);
        assertTrue(rejections >= 1 && rejections <= EXPECTED_REJECTIONS, "rejections: " + rejections);
        assertEquals(0, refused, "refused requests");
    }

    @Test
    void endpointIsUsedAgainOnceItsEntryIsWritten() {
        rejections(REQUESTS, true);
        listStale();
        assertTrue(rejections(REQUESTS / 10, false) > 0, "requests at the endpoint after its entry was written");
    }

    /** A restored log brings the entry back as it was. */
    @Test
    void restoredEntryIsNotWrittenAgain() {
        rejections(REQUESTS, true);
        fixture.restore(
                Topic.ENDPOINTS,
                Map.of(
                        STALE,
                        new DecodedRecord.EndpointListed(ReducerFixture.listing(
                                "east", STALE, ReducerFixture.PLAIN_SERVICE, false, 1, List.of()))));
        assertEquals(0, rejections(REQUESTS / 10, false), "requests at the endpoint after the restore");
    }
}
