package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.banyanstair.external.Topic;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Simulates traffic with many rarely used adapters on one host and three runners, and checks what callers receive. */
class LoadTest {
    private static final int RUNNERS = 3;

    private static final int SLOTS = 2;

    private static final Duration RUN = Duration.ofMillis(600);

    private static final Duration PATIENCE = Duration.ofSeconds(4);

    private final ReducerFixture fixture = new ReducerFixture();
    private final Map<EndpointId, SimulatedRunner> runners = new HashMap<>();
    private final PriorityQueue<ScheduledEvent> scheduled =
            new PriorityQueue<>(Comparator.comparing(ScheduledEvent::at));
    private final Map<Long, Instant> arrivedAt = new HashMap<>();
    private int onTime;
    private int late;
    private int refused;
    private int heldToTimeout;

    private record ScheduledEvent(Instant at, ForwardingEvent event) {}

    /** Simulates a runner that processes one prompt at a time and loads adapters in the expected time. */
    private static final class SimulatedRunner {
        private final Map<AdapterName, Instant> slots = new HashMap<>();
        private int sequence;
        private Instant freeAt = Instant.MIN;
    }

    private void begin() {
        fixture.configure(1, ReducerFixture.route("/x/", ReducerFixture.SERVICE, true, false, false));
        for (int index = 1; index <= RUNNERS; index++) {
            String id = "runner-" + index;
            fixture.endpoint(id, ReducerFixture.SERVICE, false, 1);
            fixture.publish(
                    Topic.CLAIMS,
                    id,
                    new DecodedRecord.RunnerClaimed(new EndpointId(id), ReducerFixture.HOST, true, 0));
            runners.put(new EndpointId(id), new SimulatedRunner());
        }
        run(fixture.pass(Duration.ofMillis(200)));
    }

    private void run(List<ForwardingEffect> effects) {
        for (ForwardingEffect effect : effects) {
            if (effect instanceof ForwardingEffect.Inspect inspect) {
                SimulatedRunner runner = runners.get(inspect.endpoint());
                List<LoadedAdapter> loaded = runner.slots.keySet().stream()
                        .map(name -> new LoadedAdapter(name, 0))
                        .toList();
                schedule(
                        0,
                        new ForwardingEvent.Inspected(
                                inspect.endpoint(),
                                Optional.of(
                                        new RunnerState(runner.sequence, false, Set.of("base"), loaded, List.of()))));
            } else if (effect instanceof ForwardingEffect.Command sent) {
                schedule(0, new ForwardingEvent.CommandAnswered(sent.command(), applyCommand(sent.command())));
            } else if (effect instanceof ForwardingEffect.Send send) {
                start(send);
            } else if (effect instanceof ForwardingEffect.Refuse refuse) {
                refused++;
                heldToTimeout += Duration.between(arrivedAt.get(refuse.exchange()), fixture.now())
                                        .compareTo(PATIENCE)
                                >= 0
                        ? 1
                        : 0;
            }
        }
    }

    private CommandResult applyCommand(AdapterCommand command) {
        SimulatedRunner runner = runners.get(command.endpoint());
        assertEquals(runner.sequence, command.expectedSequence());
        runner.sequence++;
        AdapterName name = command.adapterName().orElseThrow();
        if (!command.load()) {
            runner.slots.remove(name);
            return CommandResult.DONE;
        }
        runner.slots.put(name, fixture.now().plus(RunnerTimings.ADAPTER_LOAD));
        assertTrue(runner.slots.size() <= SLOTS, "more adapters than slots");
        return CommandResult.ACCEPTED;
    }

    private void start(ForwardingEffect.Send send) {
        SimulatedRunner runner = runners.get(send.endpoint());
        Instant from = runner.freeAt.isAfter(fixture.now()) ? runner.freeAt : fixture.now();
        runner.freeAt = from.plusMillis((long) (3500 / RunnerTimings.PROMPT_TOKENS_PER_MILLISECOND));
        scheduled.add(
                new ScheduledEvent(runner.freeAt, new ForwardingEvent.FirstOutput(send.exchange(), send.attempt())));
        scheduled.add(new ScheduledEvent(
                runner.freeAt.plus(RUN),
                new ForwardingEvent.AttemptEnded(
                        send.exchange(), send.attempt(), new AttemptResult.Answered(200, Duration.ZERO))));
    }

    private void schedule(int milliseconds, ForwardingEvent event) {
        scheduled.add(new ScheduledEvent(fixture.now().plusMillis(milliseconds), event));
    }

    private void deliver() {
        while (!scheduled.isEmpty() && !scheduled.peek().at().isAfter(fixture.now())) {
            ForwardingEvent event = scheduled.poll().event();
            if (event instanceof ForwardingEvent.FirstOutput output) {
                Duration wait = Duration.between(arrivedAt.get(output.exchange()), fixture.now());
                if (wait.compareTo(Duration.ofSeconds(1)) <= 0) {
                    onTime++;
                } else {
                    late++;
                }
            }
            run(fixture.apply(event));
        }
    }

    private void runTraffic(int requestsPerSecond, int seconds, int adapters, long seed) {
        Random random = new Random(seed);
        int steps = seconds * 50;
        for (int step = 0; step < steps; step++) {
            run(fixture.pass(Duration.ofMillis(20)));
            deliver();
            if (random.nextInt(50) < requestsPerSecond) {
                // The cube favours low numbers, so that a few adapters receive most of the requests.
                double point = random.nextDouble();
                AdapterName adapter = new AdapterName("base", "a" + (int) (point * point * point * adapters));
                ForwardRequest request = fixture.request("/x/1", Optional.of(adapter), Duration.ofSeconds(6));
                arrivedAt.put(request.exchange(), fixture.now());
                run(fixture.apply(new ForwardingEvent.RequestArrived(request)));
                deliver();
            }
        }
        for (int step = 0; step < 400; step++) {
            run(fixture.pass(Duration.ofMillis(20)));
            deliver();
        }
    }

    /** The objective for moderate load: 95 of 100 requests on time. */
    @Test
    void moderateLoadIsServedOnTime() {
        begin();
        runTraffic(2, 60, 12, 11);
        List<Integer> figures = new ArrayList<>(List.of(onTime, late, refused));
        assertTrue(onTime >= 0.95 * (onTime + late + refused), "on time, late, refused: " + figures);
        assertEquals(arrivedAt.size(), onTime + late + refused, "each request ends once");
    }

    /**
     * Four times the load that the slots can serve: no request is held until its caller gives up, and the slots stay in
     * use.
     */
    @Test
    void overloadIsRefusedEarlyAndNotHeld() {
        begin();
        runTraffic(30, 30, 200, 12);
        String figures = "on time " + onTime + ", late " + late + ", refused " + refused + ", held " + heldToTimeout;
        assertEquals(0, heldToTimeout, figures);
        assertTrue(refused > 0 && onTime > 0, figures);
        assertEquals(arrivedAt.size(), onTime + late + refused, "each request ends once: " + figures);
    }
}
