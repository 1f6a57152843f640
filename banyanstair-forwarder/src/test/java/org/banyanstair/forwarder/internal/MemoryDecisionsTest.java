package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;

import org.banyanstair.model.NetworkAddress;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against limits that do not fit into a host, and against blaming the wrong side for an unread response. */
class MemoryDecisionsTest {
    private static final long MEGABYTE = 1 << 20;

    private static final long HEAP = 194 * MEGABYTE;

    private final Instant start = Instant.EPOCH;
    private final ReadPauses pauses = new ReadPauses();
    private final EndpointBacklog backlog = new EndpointBacklog();
    private final NetworkAddress endpoint = new NetworkAddress("127.0.0.1", 1);

    @Test
    void limitsFitIntoTheSmallestAndTheLargestHosts() {
        for (long process = 290; process <= 682; process++) {
            MemoryLimits limits = MemoryLimits.of(HEAP, OptionalLong.of(process * MEGABYTE));
            // Request bodies are copied into direct buffers while they are sent.
            assertTrue(limits.requestBytes() + limits.outputBytes() <= process * MEGABYTE - HEAP, "" + process);
            assertTrue(2 * (limits.requestBytes() + limits.responseBytes()) <= HEAP, "" + process);
            assertTrue(limits.requestBytes() >= 4 * MEGABYTE && limits.responseBytes() >= 16 * MEGABYTE);
        }
    }

    @Test
    void limitsRemainUsableWithImplausibleSettings() {
        MemoryLimits limits = MemoryLimits.of(HEAP, OptionalLong.of(MEGABYTE));
        assertTrue(limits.requestBytes() >= 4 * MEGABYTE && limits.outputBytes() >= 4 * MEGABYTE);
    }

    @Test
    void callerIsEndedEarlierWhenItHarmsOthers() {
        Duration buffered = StalledCallerPolicy.limit(false, false);
        Duration endpointWaits = StalledCallerPolicy.limit(true, false);
        Duration scarce = StalledCallerPolicy.limit(true, true);
        assertTrue(buffered.compareTo(endpointWaits) > 0 && endpointWaits.compareTo(scarce) > 0);
    }

    @Test
    void endpointIsExcusedOnlyAfterALongPause() {
        pauses.update(true, start);
        assertFalse(pauses.excuseEndpoint(start.plusSeconds(60)));
        pauses.update(false, start.plusSeconds(60));
        assertFalse(pauses.excuseEndpoint(start.plusMillis(60_100)));
        pauses.update(false, start.plusSeconds(61));
        assertTrue(pauses.excuseEndpoint(start.plusSeconds(63)));
        pauses.update(true, start.plusSeconds(63));
        assertTrue(pauses.excuseEndpoint(start.plusSeconds(64)));
        assertFalse(pauses.excuseEndpoint(start.plusSeconds(70)));
    }

    @Test
    void shortPausesDoNotExcuseAnEndpoint() {
        for (int index = 0; index < 100; index++) {
            pauses.update(false, start.plusMillis(index * 100L));
            pauses.update(true, start.plusMillis(index * 100L + 50));
        }
        assertFalse(pauses.excuseEndpoint(start.plusMillis(10_000)));
    }

    @Test
    void endpointThatDoesNotReadGetsNoMoreUntilItHasRead() {
        backlog.add(endpoint, 3 * MEGABYTE);
        assertTrue(backlog.isFull(endpoint));
        assertFalse(backlog.isFull(new NetworkAddress("127.0.0.1", 2)));
        backlog.remove(endpoint, 3 * MEGABYTE);
        assertFalse(backlog.isFull(endpoint));
        assertTrue(backlog.totalBytes() == 0);
    }
}
