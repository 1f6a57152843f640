package org.banyanstair.external.http;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.banyanstair.errors.Failure;
import org.banyanstair.external.AppendResult;
import org.banyanstair.external.ReadResult;
import org.banyanstair.testsupport.fault.Faults;
import org.banyanstair.testsupport.fault.Outage;
import org.banyanstair.testsupport.fault.PlatformStandInServer;
import org.banyanstair.testsupport.log.LogFaults;
import org.banyanstair.testsupport.log.LogServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against appends reported as not applied although they may be in the log, and against lost records. */
class HttpLogServiceTest {
    private static final Duration DEADLINE = Duration.ofSeconds(1);

    /** Call timeout of the tests that expect an answer; the first call of a process loads the client's classes. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

    private LogServiceStandIn log;
    private HttpLogService client;

    @BeforeEach
    void start() {
        log = new LogServiceStandIn(0, Duration.ofHours(1), 50);
        client = new HttpLogService(log.start(), CALL_TIMEOUT);
    }

    @AfterEach
    void stop() {
        client.stop();
        log.stop();
    }

    /**
     * Guards against a long poll whose wake-up, on the event loop of its connection, stays buffered until the next
     * request.
     */
    @Test
    void appendWakesUpEveryWaitingRead() throws Exception {
        List<CompletableFuture<ReadResult>> waiting = new ArrayList<>();
        for (int reader = 0; reader < 16; reader++) {
            waiting.add(client.read("s", 0, 10, Instant.now().plusSeconds(30)));
        }
        while (log.counters().get("reads") < waiting.size()) {
            Thread.sleep(1);
        }
        assertEquals(new AppendResult.Appended(0), append("a"));
        for (CompletableFuture<ReadResult> read : waiting) {
            assertEquals(1, ((ReadResult.Records) read.get(2, TimeUnit.SECONDS)).next());
        }
    }

    @Test
    void appendedRecordsAreReadBackInOrder() throws Exception {
        assertEquals(new AppendResult.Appended(0), append("a", "b"));
        assertEquals(new AppendResult.Appended(2), append("c"));
        ReadResult.Records read = records(1, 10);
        assertEquals(3, read.next());
        assertEquals(3, read.end());
        assertEquals("b", new String(read.records().get(0).payload(), UTF_8));
        assertEquals("c", new String(read.records().get(1).payload(), UTF_8));
        assertEquals(2, records(1, 1).next());
        assertEquals(0, ((ReadResult.Records) read("never-written", 0, Instant.EPOCH)).end());
    }

    @Test
    void waitingReadsEndWithARecordOrAtTheirInstant() throws Exception {
        Instant start = Instant.now();
        CompletableFuture<ReadResult> waiting = client.read("s", 0, 10, start.plusSeconds(5));
        Thread.sleep(100);
        append("a");
        assertEquals(1, ((ReadResult.Records) waiting.get(2, TimeUnit.SECONDS)).next());
        // Longer than the call timeout, which must not abort a long poll.
        ReadResult.Records empty =
                (ReadResult.Records) read("s", 1, Instant.now().plusMillis(1_200));
        assertEquals(List.of(), empty.records());
        assertEquals(1, empty.next());
    }

    @Test
    void longPollsDoNotDelayAppends() throws Exception {
        List<CompletableFuture<ReadResult>> polls = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            polls.add(client.read("poll", 0, 1, Instant.now().plusSeconds(2)));
        }
        Instant start = Instant.now();
        assertInstanceOf(AppendResult.Appended.class, append("a"));
        assertTrue(Duration.between(start, Instant.now()).compareTo(DEADLINE) < 0);
        client.stop();
        for (CompletableFuture<ReadResult> poll : polls) {
            assertInstanceOf(ReadResult.Unavailable.class, poll.get(2, TimeUnit.SECONDS));
        }
    }

    @Test
    void expiredOffsetsNameTheEarliest() throws Exception {
        log.setFaults(new LogFaults(Faults.NONE, java.util.Optional.of(1)));
        append("a", "b");
        Thread.sleep(1_100);
        append("c");
        assertEquals(new ReadResult.Expired(2), read("s", 0, Instant.EPOCH));
        assertEquals(3, records(2, 10).next());
    }

    @Test
    void outagesRejectAppends() throws Exception {
        log.setFaults(Faults.NONE.withOutage(Outage.UNAVAILABLE));
        assertEquals(new AppendResult.Rejected(new Failure.LogUnavailable("s")), append("a"));
        assertInstanceOf(ReadResult.Unavailable.class, read("s", 0, Instant.EPOCH));
        log.setFaults(Faults.NONE.withOutage(Outage.REFUSED));
        log.server().awaitApplied();
        // The pooled connection is closed, but whether the server has read from it cannot be determined.
        assertInstanceOf(AppendResult.Unknown.class, append("a"));
        assertInstanceOf(AppendResult.Rejected.class, append("a"));
        log.setFaults(Faults.NONE);
        log.server().awaitApplied();
        assertEquals(new AppendResult.Appended(0), append("a"));
        assertEquals(1, log.counters().get("appendedRecords"));
    }

    @Test
    void outageEndsWaitingReads() throws Exception {
        CompletableFuture<ReadResult> waiting =
                client.read("s", 0, 10, Instant.now().plusSeconds(5));
        Thread.sleep(200);
        log.setFaults(Faults.NONE.withOutage(Outage.UNAVAILABLE));
        assertInstanceOf(ReadResult.Unavailable.class, waiting.get(1, TimeUnit.SECONDS));
    }

    @Test
    void lostAnswerIsUnknownAndAppliedOnce() throws Exception {
        append("a");
        log.setFaults(Faults.NONE.withLostAnswers(1));
        assertInstanceOf(AppendResult.Unknown.class, append("b"));
        assertEquals(2, records(0, 10).end());
    }

    @Test
    void lateAnswerIsUnknownAtTheDeadline() throws Exception {
        HttpLogService impatient = new HttpLogService(log.server().address(), DEADLINE);
        log.setFaults(Faults.NONE.withDelays(1_500, 0));
        assertInstanceOf(
                AppendResult.Unknown.class,
                impatient.append("s", List.of(new byte[1])).get(3, TimeUnit.SECONDS));
        impatient.stop();
        log.setFaults(Faults.NONE);
        assertEquals(0, records(0, 10).end());
        Thread.sleep(800);
        assertEquals(1, records(0, 10).end());
    }

    @Test
    void appendsAboveTheLimitAreRejected() throws Exception {
        AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);
        stop();
        log = new LogServiceStandIn(0, Duration.ofHours(1), 50, now::get);
        client = new HttpLogService(log.start(), CALL_TIMEOUT);
        int rejected = 0;
        for (int i = 0; i < 60; i++) {
            rejected += append("a") instanceof AppendResult.Rejected ? 1 : 0;
        }
        assertEquals(10, rejected);
        assertEquals(50, records(0, 100).end());
        assertEquals(rejected, log.counters().get("refused"));
        now.set(Instant.EPOCH.plusSeconds(1));
        assertEquals(new AppendResult.Appended(50), append("a"));
    }

    @ParameterizedTest
    @CsvSource({"400,true", "404,true", "429,true", "503,true", "500,false", "502,false", "504,false", "302,false"})
    void statusDecidesWhetherAnAppendWasApplied(int status, boolean rejected) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        PlatformStandInServer server = new PlatformStandInServer(0)
                .routes(app -> app.post("/streams/s/records", context -> {
                    requests.incrementAndGet();
                    return context.setResponseCode(status)
                            .setResponseHeader("Retry-After", "0")
                            .setResponseHeader("Location", "/elsewhere")
                            .send("");
                }));
        HttpLogService other = new HttpLogService(server.start(), DEADLINE);
        AppendResult result = other.append("s", List.of(new byte[1])).get(2, TimeUnit.SECONDS);
        assertEquals(rejected, result instanceof AppendResult.Rejected);
        assertEquals(!rejected, result instanceof AppendResult.Unknown);
        assertEquals(1, requests.get(), "the client repeated the append by itself");
        other.stop();
        server.stop();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "{\"firstOffset\":null}", "{\"firstOffset\":3}x"})
    void malformedAnswerIsUnknown(String answer) throws Exception {
        PlatformStandInServer server = new PlatformStandInServer(0)
                .routes(app -> app.post("/streams/s/records", context -> context.send(answer)));
        HttpLogService other = new HttpLogService(server.start(), DEADLINE);
        assertInstanceOf(
                AppendResult.Unknown.class,
                other.append("s", List.of(new byte[1])).get(2, TimeUnit.SECONDS));
        other.stop();
        server.stop();
    }

    private AppendResult append(String... payloads) throws Exception {
        List<byte[]> records = java.util.Arrays.stream(payloads)
                .map(payload -> payload.getBytes(UTF_8))
                .toList();
        return client.append("s", records).get(20, TimeUnit.SECONDS);
    }

    private ReadResult.Records records(long from, int limit) throws Exception {
        return (ReadResult.Records) client.read("s", from, limit, Instant.EPOCH).get(20, TimeUnit.SECONDS);
    }

    private ReadResult read(String stream, long from, Instant waitUntil) throws Exception {
        return client.read(stream, from, 10, waitUntil).get(20, TimeUnit.SECONDS);
    }
}
