package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against requests to endpoints that left before the log was restored from a copy that still lists them. */
class RestoredEndpointsTest {
    private static final String ID = "desk-1";

    private final ReducerFixture fixture = new ReducerFixture();

    RestoredEndpointsTest() {
        fixture.configure(1, ReducerFixture.route("/look/", ReducerFixture.PLAIN_SERVICE, false, true, false));
        list(false, 7);
    }

    private void list(boolean draining, long started) {
        fixture.endpoint(ID, ReducerFixture.PLAIN_SERVICE, draining, started);
    }

    private static Map<String, DecodedRecord> copyWith(long started, boolean draining) {
        return Map.of(
                ID,
                new DecodedRecord.EndpointListed(ReducerFixture.listing(
                        "east", ID, ReducerFixture.PLAIN_SERVICE, draining, started, List.of())));
    }

    private Optional<EndpointId> selected() {
        List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(
                fixture.request("/look/1", Optional.empty(), Duration.ofSeconds(1))));
        return ReducerFixture.only(effects, ForwardingEffect.Send.class).stream()
                .map(ForwardingEffect.Send::endpoint)
                .findFirst();
    }

    @Test
    void drainingEndpointIsNotUsedThoughTheCopyListsItAsReady() {
        list(true, 7);
        fixture.restore(Topic.ENDPOINTS, copyWith(7, false));
        assertEquals(Optional.empty(), selected());
        fixture.restore(Topic.ENDPOINTS, copyWith(8, false));
        assertEquals(Optional.of(new EndpointId(ID)), selected(), "it has started again");
    }

    @Test
    void endpointThatHasWrittenThatItLeavesIsNotUsed() {
        fixture.restore(Topic.ENDPOINTS, copyWith(7, true));
        assertEquals(Optional.empty(), selected());
    }

    @Test
    void entryOfAnEarlierProcessIsIgnored() {
        list(false, 9);
        list(true, 9);
        fixture.restore(Topic.ENDPOINTS, copyWith(7, false));
        assertEquals(Optional.empty(), selected());
    }

    @Test
    void removedEndpointIsNotUsedUntilItRegistersAgain() {
        fixture.removed(Topic.ENDPOINTS, ID);
        fixture.pass(Duration.ofSeconds(1));
        fixture.restore(Topic.ENDPOINTS, copyWith(7, false));
        assertEquals(Optional.empty(), selected());
        list(false, 7);
        assertEquals(Optional.of(new EndpointId(ID)), selected());
    }

    /** Its entry would have lapsed if its process were gone. */
    @Test
    void removedEndpointIsUsedIfTheRestoredLogKeepsItsEntry() {
        fixture.removed(Topic.ENDPOINTS, ID);
        fixture.pass(Duration.ofSeconds(15));
        fixture.restore(Topic.ENDPOINTS, copyWith(7, false));
        assertEquals(Optional.empty(), selected());
        fixture.pass(Duration.ofSeconds(6));
        assertEquals(Optional.of(new EndpointId(ID)), selected());
    }

    @Test
    void endpointThatTheCopyLacksIsUsedUntilItMustHaveRegisteredAgain() {
        fixture.restore(Topic.ENDPOINTS, Map.of());
        fixture.pass(Duration.ofMillis(1500));
        assertEquals(Optional.of(new EndpointId(ID)), selected());
        fixture.pass(Duration.ofMillis(1000));
        assertEquals(Optional.empty(), selected());
    }
}
