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
import org.banyanstair.versions.SoftwareVersion;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RunnerControllerTest {
    private static final int SLOTS = 3;

    private static final EngineCapacity CAPACITY =
            new EngineCapacity(SLOTS, 100_000, 80_000, List.of(new BaseModel("base", 70_000)));

    private static final HostId OTHER = new HostId("host-2");

    private Instant now = Instant.ofEpochSecond(100);
    private EndpointState runner;
    private RunnerController controller;

    private void begin(Set<String> models, LoadedAdapter... adapters) {
        runner = new EndpointState(new EndpointListing(
                new EndpointId("runner-1"),
                ReducerFixture.SERVICE,
                NetworkAddress.parse("10.0.1.1:80"),
                "east",
                64,
                false,
                Optional.empty(),
                1,
                models,
                List.of(adapters),
                0,
                new SoftwareVersion("v1")));
        controller = new RunnerController(runner, SLOTS);
    }

    private static AdapterName adapter(int number) {
        return new AdapterName("base", "a" + number);
    }

    private void requestLoad(int number) {
        controller.requestLoad(new AdapterLoadRequest(adapter(number), now.plusSeconds(1), now.plusSeconds(4)));
    }

    private List<ForwardingEffect> reconcile() {
        return controller.reconcile(CAPACITY, 1, name -> 1, true, now);
    }

    private AdapterCommand command() {
        return ReducerFixture.only(reconcile(), ForwardingEffect.Command.class)
                .get(0)
                .command();
    }

    private void answer(AdapterCommand command, CommandResult result) {
        controller.commandAnswered(command, result, name -> 1, 1, now);
    }

    private void inspect(int sequence, boolean busy, Set<String> models, LoadedAdapter... loaded) {
        controller.inspected(Optional.of(new RunnerState(sequence, busy, models, List.of(loaded), List.of())), now);
    }

    @Test
    void emptyRunnerLoadsItsBaseModelFirst() {
        begin(Set.of());
        assertEquals(
                1,
                ReducerFixture.only(reconcile(), ForwardingEffect.Inspect.class).size());
        inspect(0, false, Set.of());
        requestLoad(1);
        AdapterCommand load = command();
        assertEquals("base", load.baseModel());
        assertTrue(load.adapter().isEmpty());
        answer(load, CommandResult.ACCEPTED);
        now = now.plusSeconds(1);
        reconcile();
        inspect(1, true, Set.of());
        assertTrue(
                ReducerFixture.only(reconcile(), ForwardingEffect.Command.class).isEmpty(), "the runner is busy");
        now = now.plusSeconds(1);
        reconcile();
        inspect(1, false, Set.of("base"));
        requestLoad(1);
        assertEquals(Optional.of("a1"), command().adapter());
    }

    @Test
    void adapterInUseIsNotUnloaded() {
        LoadedAdapter[] full = {
            new LoadedAdapter(adapter(1), 1), new LoadedAdapter(adapter(2), 1), new LoadedAdapter(adapter(3), 1)
        };
        begin(Set.of("base"), full);
        reconcile();
        inspect(0, false, Set.of("base"), full);
        runner.setUse(OTHER, new EndpointUsage(runner.id(), 2, 0, 0, List.of(adapter(1), adapter(3)), List.of()));
        requestLoad(4);
        AdapterCommand unload = command();
        assertFalse(unload.load());
        assertEquals(Optional.of("a2"), unload.adapter());
    }

    /** An adapter with a delayed unload must not count as a load in transit, which would block other loads for 10 s. */
    @Test
    void adapterWithDelayedUnloadIsNotInTransit() {
        LoadedAdapter[] full = {
            new LoadedAdapter(adapter(1), 1), new LoadedAdapter(adapter(2), 1), new LoadedAdapter(adapter(3), 1)
        };
        begin(Set.of("base"), full);
        reconcile();
        inspect(0, false, Set.of("base"), full);
        requestLoad(4);
        answer(command(), CommandResult.ACCEPTED);
        assertEquals(0, controller.loadingCount(now));
        assertEquals(3, runner.adapters().size(), "its slot stays occupied");
    }

    @Test
    void loadThatCanBeOnTimePrecedesLateLoad() {
        AdapterLoadRequest late = new AdapterLoadRequest(adapter(1), now.plusMillis(100), now.plusSeconds(3));
        AdapterLoadRequest soon = new AdapterLoadRequest(adapter(2), now.plusMillis(700), now.plusSeconds(3));
        AdapterLoadRequest later = new AdapterLoadRequest(adapter(3), now.plusMillis(900), now.plusSeconds(3));
        List<AdapterLoadRequest> loads = new ArrayList<>(List.of(later, late, soon));
        loads.sort(RunnerController.urgencyOrder(now));
        assertEquals(List.of(soon, later, late), loads);
    }

    /** Simulates a runner with slow loads, lost answers and delayed commands. */
    private final class SimulatedRunner {
        private final Map<AdapterName, Instant> slots = new HashMap<>();
        private final List<AdapterCommand> delayedCommands = new ArrayList<>();
        private int sequence;

        CommandResult execute(AdapterCommand command) {
            if (command.expectedSequence() != sequence) {
                return CommandResult.CONFLICT;
            }
            AdapterName name = command.adapterName().orElseThrow();
            sequence++;
            if (!command.load()) {
                slots.remove(name);
                return CommandResult.DONE;
            }
            slots.put(name, now.plusMillis(800));
            assertTrue(slots.size() <= SLOTS, "commanded to load more adapters than slots: " + slots.keySet());
            return CommandResult.ACCEPTED;
        }

        RunnerState state() {
            List<LoadedAdapter> loaded = new ArrayList<>();
            List<LoadedAdapter> loading = new ArrayList<>();
            slots.forEach(
                    (name, readyAt) -> (now.isBefore(readyAt) ? loading : loaded).add(new LoadedAdapter(name, 1)));
            return new RunnerState(sequence, false, Set.of("base"), loaded, loading);
        }
    }

    /** A late load must not make its slot look free, or the runner is commanded to load one adapter too many. */
    @Property(tries = 400, seed = "5102")
    void runnerIsNeverOrderedToLoadMoreThanItHolds(@ForAll("seeds") long seed) {
        begin(Set.of("base"));
        SimulatedRunner simulated = new SimulatedRunner();
        Random random = new Random(seed);
        Optional<AdapterCommand> unanswered = Optional.empty();
        CommandResult result = CommandResult.UNKNOWN;
        for (int step = 0; step < 500; step++) {
            now = now.plusMillis(10 + random.nextInt(40));
            if (random.nextInt(3) == 0) {
                requestLoad(random.nextInt(12));
            }
            if (!simulated.delayedCommands.isEmpty() && random.nextInt(10) == 0) {
                simulated.execute(simulated.delayedCommands.remove(0));
            }
            for (AdapterName name : List.copyOf(runner.adapters().keySet())) {
                boolean ready = simulated.slots.containsKey(name) && !now.isBefore(simulated.slots.get(name));
                if (runner.adapters().get(name).isReady(now) && !ready && random.nextInt(3) == 0) {
                    controller.adapterMissing(name, now);
                }
            }
            if (unanswered.isPresent() && random.nextInt(2) == 0) {
                answer(unanswered.get(), result);
                unanswered = Optional.empty();
            }
            for (ForwardingEffect effect : reconcile()) {
                if (effect instanceof ForwardingEffect.Inspect) {
                    controller.inspected(Optional.of(simulated.state()), now);
                } else if (effect instanceof ForwardingEffect.Command sent) {
                    if (random.nextInt(12) == 0) {
                        simulated.delayedCommands.add(sent.command());
                        result = CommandResult.UNKNOWN;
                    } else {
                        result = simulated.execute(sent.command());
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
