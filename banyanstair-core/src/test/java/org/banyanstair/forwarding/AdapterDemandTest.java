package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.external.Topic;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.peer.EndpointUsage;
import org.banyanstair.peer.PeerMessage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against the eviction of adapters that many requests use, for one that a long request used. */
class AdapterDemandTest {
    private static final EndpointId RUNNER = new EndpointId("runner-1");

    private static final HostIdentity PEER = new HostIdentity(new HostId("host-2"), 1);

    private static final AdapterName OFTEN = new AdapterName("base", "often");

    private static final AdapterName LONG = new AdapterName("base", "long");

    private final ReducerFixture fixture = new ReducerFixture();

    private void report(boolean complete, AdapterName... adapters) {
        EndpointUsage usage =
                new EndpointUsage(RUNNER, adapters.length, 0, adapters.length * 100, List.of(adapters), List.of());
        fixture.apply(new ForwardingEvent.PeerMessageReceived(
                PEER,
                new PeerMessage.UseReport(
                        complete && adapters.length == 0 ? List.of() : List.of(usage),
                        complete,
                        List.of(),
                        List.of())));
    }

    @Test
    void longRequestsCountOnceForTheirAdapter() {
        fixture.configure(1, ReducerFixture.route("/chat", ReducerFixture.SERVICE, true, true, true));
        fixture.endpoint(RUNNER.value(), ReducerFixture.SERVICE, false, 1);
        fixture.publish(
                Topic.CLAIMS, RUNNER.value(), new DecodedRecord.RunnerClaimed(RUNNER, ReducerFixture.HOST, true, 0));
        fixture.pass(Duration.ofMillis(200));
        List<LoadedAdapter> loaded = List.of(new LoadedAdapter(OFTEN, 1), new LoadedAdapter(LONG, 1));
        fixture.apply(new ForwardingEvent.Inspected(
                RUNNER, Optional.of(new RunnerState(0, false, Set.of("base"), loaded, List.of()))));
        for (int request = 0; request < 4; request++) {
            report(false, OFTEN, LONG);
            fixture.pass(Duration.ofMillis(60));
            report(true, LONG);
            fixture.pass(Duration.ofMillis(60));
            for (int repeat = 0; repeat < 10; repeat++) {
                report(false, LONG);
            }
        }
        report(true);
        List<ForwardingEffect> effects = new ArrayList<>(fixture.apply(new ForwardingEvent.RequestArrived(
                fixture.request("/chat", Optional.of(ReducerFixture.ADAPTER), Duration.ofSeconds(4)))));
        effects.addAll(fixture.pass(Duration.ofMillis(200)));
        List<Optional<AdapterName>> unloaded = ReducerFixture.only(effects, ForwardingEffect.Command.class).stream()
                .map(ForwardingEffect.Command::command)
                .filter(command -> !command.load())
                .map(AdapterCommand::adapterName)
                .toList();
        assertEquals(List.of(Optional.of(LONG)), unloaded);
    }
}
