package org.banyanstair.testsupport.history;

import java.time.InstantSource;
import java.util.Optional;
import java.util.stream.IntStream;

import org.banyanstair.model.CallerId;
import org.banyanstair.model.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

class HistoryRecorderTest {
    /** Guards against events that are lost when callers record at the same time, which would hide violations. */
    @Test
    void keepsAllEventsOfConcurrentCallers() {
        HistoryRecorder recorder = new HistoryRecorder(InstantSource.system());
        IntStream.range(0, 2_000).parallel().forEach(number -> {
            HistoryEvent.Sent sent =
                    recorder.sent("k" + number, new CallerId("clerk"), new HostId("entry-1"), Optional.empty(), false);
            recorder.unknown(sent);
        });
        assertEquals(4_000, recorder.events().size());
        recorder.events().stream()
                .map(HistoryEvent::context)
                .forEach(context -> assertFalse(context.end().isBefore(context.start())));
    }
}
