package org.banyanstair.server.daemon;

import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.reducer.Event;
import org.banyanstair.reducer.HostReducer;
import org.banyanstair.reducer.ReducerSettings;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against new work on a leaving endpoint because a host list update is queued behind requests. */
class EventLoopTest {
    private static final int BACKLOG = 100;

    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final CountDownLatch last = new CountDownLatch(1);

    private Function<Instant, Event> event(String name) {
        return at -> {
            handled.add(name);
            if (name.equals("last")) {
                last.countDown();
            }
            return new Event.Tick(at);
        };
    }

    @Test
    void hostListUpdateIsHandledBeforeTheBacklog() throws Exception {
        HostReducer reducer =
                new HostReducer(new HostIdentity(new HostId("entry-1"), 1), ReducerSettings.DEFAULT, Instant.now());
        EventLoop loop = new EventLoop(reducer, Clock.systemUTC(), effect -> {}, published -> {});
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch gate = new CountDownLatch(1);
        loop.submit(at -> {
            blocked.countDown();
            await(gate);
            return new Event.Tick(at);
        });
        loop.start();
        try {
            assertTrue(blocked.await(20, TimeUnit.SECONDS), "the loop did not start");
            for (int number = 0; number < BACKLOG; number++) {
                loop.submit(event("request"));
            }
            loop.submit(event("last"));
            loop.submitHostListUpdate(event("first reading"));
            loop.submitHostListUpdate(event("second reading"));
            gate.countDown();
            assertTrue(last.await(20, TimeUnit.SECONDS), "the backlog was not processed");
            assertEquals(List.of("first reading", "second reading", "request"), handled.subList(0, 3));
            assertEquals(BACKLOG + 3, handled.size());
        } finally {
            loop.stop();
        }
    }

    private static void await(CountDownLatch gate) {
        try {
            gate.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
