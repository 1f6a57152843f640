package org.banyanstair.testsupport.network;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

/** Guards against data that stays in a pipe although its latency has passed. */
class PipeTest {
    /** Advances with each reading, so that a chunk may become due between any two readings. */
    private final AtomicLong clock = new AtomicLong();

    private final EmbeddedChannel source = new EmbeddedChannel();
    private final EmbeddedChannel sink = new EmbeddedChannel();
    private final Pipe pipe = new Pipe(source, sink, clock::incrementAndGet);

    @Test
    void dataIsForwardedWheneverItBecomesDue() {
        for (int latency = 0; latency < 10; latency++) {
            pipe.setLatencyNanos(latency);
            pipe.enqueueData(Unpooled.wrappedBuffer(new byte[] {(byte) latency}));
            for (int drain = 0; drain < 10; drain++) {
                sink.advanceTimeBy(1, TimeUnit.SECONDS);
                sink.runPendingTasks();
            }
            ByteBuf forwarded = sink.readOutbound();
            assertNotNull(forwarded, "not forwarded with a latency of " + latency);
            assertEquals(latency, forwarded.readByte());
        }
    }
}
