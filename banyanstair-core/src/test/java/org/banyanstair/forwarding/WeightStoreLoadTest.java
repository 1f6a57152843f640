package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.banyanstair.external.Topic;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.RequestId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Simulates demand that moves to adapters that no runner holds, on a weight store whose loads slow down in proportion
 * above a number in transit, and checks what callers receive.
 */
class WeightStoreLoadTest {
    private static final int RUNNERS = 8;

    private static final int SLOTS = 18;

    /** Loads in transit without a slowdown. */
    private static final int STORE_CAPACITY = 24;

    private static final Duration LOAD = Duration.ofMillis(250);

    /** Load time of an adapter that the runner held before. */
    private static final Duration RELOAD = Duration.ofMillis(25);

    private static final Duration OBJECTIVE = Duration.ofSeconds(1);

    private static final Duration RUN = Duration.ofMillis(120);

    private final ReducerFixture fixture = new ReducerFixture();
    private final Map<EndpointId, Runner> runners = new HashMap<>();
    private final PriorityQueue<Scheduled> scheduled = new PriorityQueue<>(Comparator.comparing(Scheduled::at));
    private final Map<Long, ForwardRequest> requests = new HashMap<>();
    private final Map<Long, Instant> arrivedAt = new HashMap<>();
    private long exchanges;
    private int onTime;
    private int late;
    private int refused;
    private int rejected;

    private record Scheduled(Instant at, ForwardingEvent event) {}

    private static final class Runner {
        private final Map<AdapterName, Instant> readyAt = new HashMap<>();
        private final Set<AdapterName> unloaded = new HashSet<>();
        private int sequence;
    }

    private void begin() {
        fixture.configureEngine(SLOTS, ReducerFixture.route("/x/", ReducerFixture.SERVICE, true, false, false));
        for (int index = 1; index <= RUNNERS; index++) {
            EndpointId id = new EndpointId("runner-" + index);
            fixture.endpoint(id.value(), ReducerFixture.SERVICE, false, 1);
            fixture.publish(
                    Topic.CLAIMS, id.value(), new DecodedRecord.RunnerClaimed(id, ReducerFixture.HOST, true, 0));
            runners.put(id, new Runner());
        }
        run(fixture.pass(Duration.ofMillis(200)));
    }

    private long inTransit() {
        return runners.values().stream()
                .flatMap(runner -> runner.readyAt.values().stream())
                .filter(ready -> ready.isAfter(fixture.now()))
                .count();
    }

    private void run(List<ForwardingEffect> effects) {
        for (ForwardingEffect effect : effects) {
            if (effect instanceof ForwardingEffect.Inspect inspect) {
                schedule(Duration.ZERO, new ForwardingEvent.Inspected(inspect.endpoint(), Optional.of(state(inspect))));
            } else if (effect instanceof ForwardingEffect.Command sent) {
                schedule(
                        Duration.ZERO,
                        new ForwardingEvent.CommandAnswered(sent.command(), applyCommand(sent.command())));
            } else if (effect instanceof ForwardingEffect.Send send) {
                start(send);
            } else if (effect instanceof ForwardingEffect.Refuse) {
                refused++;
            }
        }
    }

    private RunnerState state(ForwardingEffect.Inspect inspect) {
        Runner runner = runners.get(inspect.endpoint());
        List<LoadedAdapter> loaded = runner.readyAt.entrySet().stream()
                .filter(entry -> !entry.getValue().isAfter(fixture.now()))
                .map(entry -> new LoadedAdapter(entry.getKey(), 0))
                .toList();
        List<LoadedAdapter> loading = runner.readyAt.entrySet().stream()
                .filter(entry -> entry.getValue().isAfter(fixture.now()))
                .map(entry -> new LoadedAdapter(entry.getKey(), 0))
                .toList();
        return new RunnerState(runner.sequence, false, Set.of("base"), loaded, loading);
    }

    private CommandResult applyCommand(AdapterCommand command) {
        Runner runner = runners.get(command.endpoint());
        assertEquals(runner.sequence, command.expectedSequence());
        runner.sequence++;
        AdapterName name = command.adapterName().orElseThrow();
        if (!command.load()) {
            runner.readyAt.remove(name);
            runner.unloaded.add(name);
            return CommandResult.DONE;
        }
        double slowdown = Math.max(1, (inTransit() + 1.0) / STORE_CAPACITY);
        Duration time = runner.unloaded.contains(name) ? RELOAD : LOAD;
        runner.readyAt.put(name, fixture.now().plusMillis((long) (time.toMillis() * slowdown)));
        assertTrue(runner.readyAt.size() <= SLOTS, "more adapters than slots");
        return CommandResult.ACCEPTED;
    }

    private void start(ForwardingEffect.Send send) {
        AdapterName adapter = requests.get(send.exchange()).adapter().orElseThrow();
        Instant readyAt = runners.get(send.endpoint()).readyAt.getOrDefault(adapter, Instant.MAX);
        if (readyAt.isAfter(fixture.now())) {
            rejected++;
            schedule(
                    Duration.ZERO,
                    new ForwardingEvent.AttemptEnded(
                            send.exchange(),
                            send.attempt(),
                            new AttemptResult.NotRun(AttemptResult.NotRunCause.NOT_HERE)));
            return;
        }
        schedule(Duration.ofMillis(30), new ForwardingEvent.FirstOutput(send.exchange(), send.attempt()));
        schedule(
                RUN,
                new ForwardingEvent.AttemptEnded(
                        send.exchange(), send.attempt(), new AttemptResult.Answered(200, Duration.ZERO)));
    }

    private void schedule(Duration delay, ForwardingEvent event) {
        scheduled.add(new Scheduled(fixture.now().plus(delay), event));
    }

    private void deliver() {
        while (!scheduled.isEmpty() && !scheduled.peek().at().isAfter(fixture.now())) {
            ForwardingEvent event = scheduled.poll().event();
            if (event instanceof ForwardingEvent.FirstOutput output) {
                boolean inTime =
                        !arrivedAt.get(output.exchange()).plus(OBJECTIVE).isBefore(fixture.now());
                onTime += inTime ? 1 : 0;
                late += inTime ? 0 : 1;
            }
            run(fixture.apply(event));
        }
    }

    private void arrive(AdapterName adapter) {
        exchanges++;
        ForwardRequest request = new ForwardRequest(
                exchanges,
                new RequestId("request-" + exchanges),
                "shop",
                "/x/1",
                Optional.of(adapter.baseModel()),
                Optional.of(adapter),
                List.of(new PromptPart(1, 150), new PromptPart(exchanges, 500)),
                650,
                14,
                Optional.of(fixture.now().plusSeconds(6)),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                exchanges,
                List.of());
        requests.put(request.exchange(), request);
        arrivedAt.put(request.exchange(), fixture.now());
        run(fixture.apply(new ForwardingEvent.RequestArrived(request)));
        deliver();
    }

    /**
     * Fifty requests a second for adapters that are rarely asked for, beside as many for popular ones: the store can
     * load 96 a second with 24 in transit, but only 32 with 8.
     */
    @Test
    void rareAdaptersAreServedOnTimeWhileTheStoreCanLoadThem() {
        begin();
        Random random = new Random(21);
        for (int step = 0; step < 1_500; step++) {
            run(fixture.pass(Duration.ofMillis(20)));
            deliver();
            arrive(new AdapterName("base", "popular-" + random.nextInt(40)));
            arrive(new AdapterName("base", "rare-" + random.nextInt(3_000)));
        }
        for (int step = 0; step < 400; step++) {
            run(fixture.pass(Duration.ofMillis(20)));
            deliver();
        }
        String figures =
                "on time " + onTime + ", late " + late + ", refused " + refused + ", rejected by runners " + rejected;
        assertEquals(requests.size(), onTime + late + refused, "each request ends once: " + figures);
        assertTrue(onTime >= 0.95 * requests.size(), figures);
        assertTrue(rejected <= 0.02 * requests.size(), figures);
    }
}
