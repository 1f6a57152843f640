package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.banyanstair.external.Topic;
import org.banyanstair.locality.LocalitySettings;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests to runners that leave the data centre for nothing, or queue at home beside idle runners. */
class RunnerLocalityTest {
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private final ReducerFixture fixture =
            new ReducerFixture(new HostId("host"), 1, Instant.ofEpochSecond(100), "east", LocalitySettings.ENABLED);

    @BeforeEach
    void configure() {
        fixture.configure(1, ReducerFixture.route("/stream/", ReducerFixture.SERVICE, true, false, false));
        fixture.endpointIn("west", "a-west", ReducerFixture.SERVICE, false, 1, "a");
        fixture.endpointIn("east", "b-east", ReducerFixture.SERVICE, false, 1, "a");
    }

    private List<String> send(int count) {
        List<String> endpoints = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            ForwardRequest request = fixture.request("/stream/1", Optional.of(new AdapterName("base", "a")), PATIENCE);
            List<ForwardingEffect> effects = fixture.apply(new ForwardingEvent.RequestArrived(request));
            ReducerFixture.only(effects, ForwardingEffect.Send.class)
                    .forEach(send -> endpoints.add(send.endpoint().value()));
        }
        return endpoints;
    }

    @Test
    void requestStaysAtHomeBesideAnEqualRunnerElsewhere() {
        assertEquals(List.of("b-east"), send(1));
    }

    @Test
    void requestLeavesWhenTheQueueAtHomeCostsMoreThanItsWay() {
        List<String> endpoints = send(5);
        assertTrue(endpoints.contains("a-west"), "sent to " + endpoints);
    }

    @Test
    void dataCentreWithoutReportsIsNotUsedBesideOneWithReports() {
        fixture.publish(
                Topic.HOSTS,
                "silent",
                new DecodedRecord.HostAnnounced(new HostAnnouncement(
                        new HostId("silent"),
                        1,
                        NetworkAddress.parse("10.0.2.1:80"),
                        NetworkAddress.parse("10.0.2.1:81"),
                        "west",
                        1)));
        fixture.pass(Duration.ofSeconds(3));
        assertEquals(List.of("b-east", "b-east", "b-east", "b-east", "b-east"), send(5));
    }
}
