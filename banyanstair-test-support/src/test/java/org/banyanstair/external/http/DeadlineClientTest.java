package org.banyanstair.external.http;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import okhttp3.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against calls that outlive their deadline or are sent after it. */
class DeadlineClientTest {
    private static final int PLACES = 2;

    private final DeadlineClient client = new DeadlineClient(PLACES);
    private ServerSocket silent;

    @BeforeEach
    void start() throws Exception {
        silent = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        silent.close();
    }

    @Test
    void silentServerEndsCallsAtTheirDeadline() throws Exception {
        Instant start = Instant.now();
        assertInstanceOf(CallResult.NoAnswer.class, call(500).get(2, TimeUnit.SECONDS));
        long taken = Duration.between(start, Instant.now()).toMillis();
        assertTrue(taken >= 500 && taken < 1_500, "took " + taken + " ms");
    }

    @Test
    void callsWhoseDeadlinePassesInTheQueueAreNeverSent() throws Exception {
        List<CompletableFuture<CallResult>> running = new ArrayList<>();
        List<CompletableFuture<CallResult>> waiting = new ArrayList<>();
        for (int i = 0; i < PLACES; i++) {
            running.add(call(800));
        }
        for (int i = 0; i < 10; i++) {
            waiting.add(call(200));
        }
        for (CompletableFuture<CallResult> call : waiting) {
            assertInstanceOf(CallResult.NotSent.class, call.get(3, TimeUnit.SECONDS));
        }
        for (CompletableFuture<CallResult> call : running) {
            assertInstanceOf(CallResult.NoAnswer.class, call.get(3, TimeUnit.SECONDS));
        }
    }

    @Test
    void stoppedClientSendsNothing() throws Exception {
        client.stop();
        assertInstanceOf(CallResult.NotSent.class, call(500).get(2, TimeUnit.SECONDS));
    }

    private CompletableFuture<CallResult> call(long millis) {
        Request.Builder request = new Request.Builder().url("http://127.0.0.1:" + silent.getLocalPort() + "/");
        return client.call(request, Duration.ofMillis(millis));
    }
}
