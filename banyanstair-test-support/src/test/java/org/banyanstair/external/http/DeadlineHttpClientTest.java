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

/** Guards against calls that continue, or are sent, after their deadline. */
class DeadlineHttpClientTest {
    private static final int MAXIMUM_CALLS = 2;

    private final DeadlineHttpClient client = new DeadlineHttpClient(MAXIMUM_CALLS);
    private ServerSocket unresponsiveServer;

    @BeforeEach
    void start() throws Exception {
        unresponsiveServer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        unresponsiveServer.close();
    }

    @Test
    void callsToUnresponsiveServerEndAtTheirDeadline() throws Exception {
        Instant start = Instant.now();
        assertInstanceOf(HttpCallResult.NoResponse.class, call(500).get(2, TimeUnit.SECONDS));
        long taken = Duration.between(start, Instant.now()).toMillis();
        assertTrue(taken >= 500 && taken < 1_500, "took " + taken + " ms");
    }

    @Test
    void callsWhoseDeadlinePassesInTheQueueAreNeverSent() throws Exception {
        List<CompletableFuture<HttpCallResult>> running = new ArrayList<>();
        List<CompletableFuture<HttpCallResult>> waiting = new ArrayList<>();
        for (int i = 0; i < MAXIMUM_CALLS; i++) {
            running.add(call(800));
        }
        for (int i = 0; i < 10; i++) {
            waiting.add(call(200));
        }
        for (CompletableFuture<HttpCallResult> call : waiting) {
            assertInstanceOf(HttpCallResult.NotSent.class, call.get(3, TimeUnit.SECONDS));
        }
        for (CompletableFuture<HttpCallResult> call : running) {
            assertInstanceOf(HttpCallResult.NoResponse.class, call.get(3, TimeUnit.SECONDS));
        }
    }

    @Test
    void stoppedClientSendsNothing() throws Exception {
        client.stop();
        assertInstanceOf(HttpCallResult.NotSent.class, call(500).get(2, TimeUnit.SECONDS));
    }

    private CompletableFuture<HttpCallResult> call(long millis) {
        Request.Builder request =
                new Request.Builder().url("http://127.0.0.1:" + unresponsiveServer.getLocalPort() + "/");
        return client.call(request, Duration.ofMillis(millis));
    }
}
