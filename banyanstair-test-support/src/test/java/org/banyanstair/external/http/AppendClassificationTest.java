package org.banyanstair.external.http;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.banyanstair.external.AppendResult;
import org.banyanstair.external.LogRecord;
import org.banyanstair.external.ReadResult;
import org.banyanstair.testsupport.fault.Faults;
import org.banyanstair.testsupport.fault.Outage;
import org.banyanstair.testsupport.log.LogServiceStandIn;
import org.banyanstair.testsupport.network.FaultProxy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against append results that contradict the log when network and service faults coincide. */
class AppendClassificationTest {
    private static final int ROUNDS = 40;
    private static final int APPENDS_PER_ROUND = 10;
    private static final int APPENDS_PER_SECOND = 150;

    private final LogServiceStandIn log = new LogServiceStandIn(0, Duration.ofHours(1), APPENDS_PER_SECOND);
    private final Map<String, AppendResult> results = new HashMap<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void resultsAgreeWithTheLog(long seed) throws Exception {
        System.out.println("seed " + seed);
        Random random = new Random(seed);
        FaultProxy proxy = new FaultProxy(0, log.start());
        HttpLogService client = new HttpLogService(proxy.start(), Duration.ofMillis(250));
        for (int round = 0; round < ROUNDS; round++) {
            List<CompletableFuture<AppendResult>> running = appendRound(client, round);
            Thread.sleep(random.nextInt(5));
            injectFault(proxy, random);
            for (int i = 0; i < running.size(); i++) {
                results.put(payload(round, i), running.get(i).get(5, TimeUnit.SECONDS));
            }
        }
        proxy.acceptConnections();
        log.setFaults(Faults.NONE);
        log.server().awaitApplied();
        // Appends delayed beyond their deadline take effect within the longest injected delay.
        Thread.sleep(500);
        client.stop();
        proxy.stop();
        compareWithLog();
        log.stop();
    }

    private static List<CompletableFuture<AppendResult>> appendRound(HttpLogService client, int round) {
        List<CompletableFuture<AppendResult>> running = new ArrayList<>();
        for (int i = 0; i < APPENDS_PER_ROUND; i++) {
            running.add(client.append("s", List.of(payload(round, i).getBytes(UTF_8))));
        }
        return running;
    }

    private static String payload(int round, int index) {
        return round + "-" + index;
    }

    private void injectFault(FaultProxy proxy, Random random) {
        switch (random.nextInt(8)) {
            case 0 -> proxy.resetConnections();
            case 1 -> proxy.stallOpenConnections();
            case 2 -> proxy.refuseConnections();
            case 3 -> log.setFaults(Faults.NONE.withRandomLostAnswers(0.3, random.nextLong()));
            case 4 -> log.setFaults(Faults.NONE.withOutage(Outage.UNAVAILABLE));
            case 5 -> log.setFaults(Faults.NONE.withDelays(random.nextInt(400), 0));
            default -> {
                proxy.acceptConnections();
                log.setFaults(Faults.NONE);
            }
        }
    }

    private void compareWithLog() throws Exception {
        Map<String, Long> offsets = readAll();
        int rejected = 0;
        int unknown = 0;
        for (Map.Entry<String, AppendResult> entry : results.entrySet()) {
            Long offset = offsets.get(entry.getKey());
            if (entry.getValue() instanceof AppendResult.Appended) {
                assertEquals(((AppendResult.Appended) entry.getValue()).firstOffset(), offset);
            } else if (entry.getValue() instanceof AppendResult.Rejected) {
                rejected++;
                assertEquals(null, offset, entry.getKey() + " was rejected but is in the log");
            } else {
                unknown++;
            }
        }
        System.out.println(results.size() + " appends, rejected " + rejected + ", unknown " + unknown);
        assertTrue(rejected > 0 && unknown > 0, "the faults affected no append");
    }

    private Map<String, Long> readAll() throws Exception {
        HttpLogService direct = new HttpLogService(log.server().address(), Duration.ofSeconds(5));
        ReadResult result = direct.read("s", 0, 1_000, Instant.EPOCH).get(6, TimeUnit.SECONDS);
        direct.stop();
        Map<String, Long> offsets = new HashMap<>();
        for (LogRecord record : ((ReadResult.Records) result).records()) {
            Long earlier = offsets.put(new String(record.payload(), UTF_8), record.offset());
            assertEquals(null, earlier, "a record was appended twice");
        }
        return offsets;
    }
}
