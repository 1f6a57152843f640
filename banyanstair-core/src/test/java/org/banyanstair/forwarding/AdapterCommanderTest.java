package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.peer.EndpointUsage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdapterCommanderTest {
    private static final int SLOTS = 3;

    private static final EngineCapacity CAPACITY =
            new EngineCapacity(SLOTS, 100_000, 80_000, List.of(new BaseModel("base", 70_000)));

    private static final HostId OTHER = new HostId("host-2");

    private Instant now = Instant.ofEpochSecond(100);
    private EndpointState runner;
    private AdapterCommander commander;

    private void begin(Set<String> models, LoadedAdapter... adapters) {
        runner = new EndpointState(new EndpointListing(
                new EndpointId("runner-1"),
                Fixture.SERVICE,
                NetworkAddress.parse("10.0.1.1:80"),
                "east",
                64,
                false,
                Optional.empty(),
                1,
                models,
                List.of(adapters),
                0));
        commander = new AdapterCommander(runner, SLOTS);
    }

    private static AdapterName adapter(int number) {
        return new AdapterName("base", "a" + number);
    }

    private void want(int number) {
        commander.want(new WantedLoad(adapter(number), now.plusSeconds(1), now.plusSeconds(4)));
    }

    private List<ForwardingEffect> step() {
        return commander.step(CAPACITY, 1, name -> 1, true, now);
    }

    private AdapterCommand command() {
        return Fixture.only(step(), ForwardingEffect.Command.class).get(0).command();
    }

    private void answer(AdapterCommand command, CommandResult result) {
        commander.answered(command, result, name -> 1, 1, now);
    }

    private void inspect(int sequence, boolean busy, Set<String> models, LoadedAdapter... loaded) {
        commander.inspected(Optional.of(new RunnerState(sequence, busy, models, List.of(loaded), List.of())), now);
    }

    @Test
    void emptyRunnerLoadsItsBaseModelFirst() {
        begin(Set.of());
        assertEquals(1, Fixture.only(step(), ForwardingEffect.Inspect.class).size());
        inspect(0, false, Set.of());
        want(1);
        AdapterCommand load = command();
        assertEquals("base", load.baseModel());
        assertTrue(load.adapter().isEmpty());
        answer(load, CommandResult.ACCEPTED);
        now = now.plusSeconds(1);
        step();
        inspect(1, true, Set.of());
        assertTrue(Fixture.only(step(), ForwardingEffect.Command.class).isEmpty(), "the runner is busy");
        now = now.plusSeconds(1);
        step();
        inspect(1, false, Set.of("base"));
        want(1);
        assertEquals(Optional.of("a1"), command().adapter());
    }

    @Test
    void adapterInUseIsNotUnloaded() {
        LoadedAdapter[] full = {
            new LoadedAdapter(adapter(1), 1), new LoadedAdapter(adapter(2), 1), new LoadedAdapter(adapter(3), 1)
        };
        begin(Set.of("base"), full);
        step();
        inspect(0, false, Set.of("base"), full);
        runner.setUse(OTHER, new EndpointUsage(runner.id(), 2, 0, 0, List.of(adapter(1), adapter(3)), List.of()));
        want(4);
        AdapterCommand unload = command();
        assertFalse(unload.load());
        assertEquals(Optional.of("a2"), unload.adapter());
    }

    /** Such an adapter counted for 10 s as one of the few that may be on their way to all runners. */
    @Test
    void adapterThatWaitsToBeUnloadedIsNotOnItsWay() {
        LoadedAdapter[] full = {
            new LoadedAdapter(adapter(1), 1), new LoadedAdapter(adapter(2), 1), new LoadedAdapter(adapter(3), 1)
        };
        begin(Set.of("base"), full);
        step();
        inspect(0, false, Set.of("base"), full);
        want(4);
        answer(command(), CommandResult.ACCEPTED);
        assertEquals(0, commander.loading(now));
        assertEquals(3, runner.adapters().size(), "its place stays taken");
    }

    @Test
    void loadThatCanBeOnTimeGoesBeforeOneThatIsLateAnyway() {
        WantedLoad late = new WantedLoad(adapter(1), now.plusMillis(100), now.plusSeconds(3));
        WantedLoad soon = new WantedLoad(adapter(2), now.plusMillis(700), now.plusSeconds(3));
        WantedLoad later = new WantedLoad(adapter(3), now.plusMillis(900), now.plusSeconds(3));
        List<WantedLoad> loads = new ArrayList<>(List.of(later, late, soon));
        loads.sort(AdapterCommander.urgency(now));
        assertEquals(List.of(soon, later, late), loads);
    }

    /** The runner as it is, with loads that take their time, answers that get lost and commands that come late. */
    private final class SimulatedRunner {
        private final Map<AdapterName, Instant> places = new HashMap<>();
        private final List<AdapterCommand> late = new ArrayList<>();
        private int sequence;

        CommandResult take(AdapterCommand command) {
            if (command.expectedSequence() != sequence) {
                return CommandResult.CONFLICT;
            }
            AdapterName name = command.adapterName().orElseThrow();
            sequence++;
            if (!command.load()) {
                places.remove(name);
                return CommandResult.DONE;
            }
            places.put(name, now.plusMillis(800));
            assertTrue(places.size() <= SLOTS, "ordered to load more than it holds: " + places.keySet());
            return CommandResult.ACCEPTED;
        }

        RunnerState state() {
            List<LoadedAdapter> loaded = new ArrayList<>();
            List<LoadedAdapter> loading = new ArrayList<>();
            places.forEach(
                    (name, readyAt) -> (now.isBefore(readyAt) ? loading : loaded).add(new LoadedAdapter(name, 1)));
            return new RunnerState(sequence, false, Set.of("base"), loaded, loading);
        }
    }

    /** A load that took longer than expected made its place look free: the runner was ordered to load one too many. */
    @Property(tries = 400, seed = "5102")
    void runnerIsNeverOrderedToLoadMoreThanItHolds(@ForAll("seeds") long seed) {
        begin(Set.of("base"));
        SimulatedRunner real = new SimulatedRunner();
        Random random = new Random(seed);
        Optional<AdapterCommand> unanswered = Optional.empty();
        CommandResult result = CommandResult.UNKNOWN;
        for (int step = 0; step < 500; step++) {
            now = now.plusMillis(10 + random.nextInt(40));
            if (random.nextInt(3) == 0) {
                want(random.nextInt(12));
            }
            if (!real.late.isEmpty() && random.nextInt(10) == 0) {
                real.take(real.late.remove(0));
            }
            for (AdapterName name : List.copyOf(runner.adapters().keySet())) {
                boolean ready = real.places.containsKey(name) && !now.isBefore(real.places.get(name));
                if (runner.adapters().get(name).isReady(now) && !ready && random.nextInt(3) == 0) {
                    commander.missing(name, now);
                }
            }
            if (unanswered.isPresent() && random.nextInt(2) == 0) {
                answer(unanswered.get(), result);
                unanswered = Optional.empty();
            }
            for (ForwardingEffect effect : step()) {
                if (effect instanceof ForwardingEffect.Inspect) {
                    commander.inspected(Optional.of(real.state()), now);
                } else if (effect instanceof ForwardingEffect.Command sent) {
                    if (random.nextInt(12) == 0) {
                        real.late.add(sent.command());
                        result = CommandResult.UNKNOWN;
                    } else {
                        result = real.take(sent.command());
                    }
                    unanswered = Optional.of(sent.command());
                }
            }
        }
        assertTrue(Duration.between(Instant.ofEpochSecond(100), now).toSeconds() > 5);
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs();
    }
}
