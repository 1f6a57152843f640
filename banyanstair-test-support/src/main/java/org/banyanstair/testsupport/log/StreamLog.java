package org.banyanstair.testsupport.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.banyanstair.platform.LogRecord;
import org.banyanstair.platform.ReadResult;

/** Records of one stream and the reads that wait for more. */
final class StreamLog {
    private final Deque<LogRecord> records = new ArrayDeque<>();
    private final List<PendingRead> pending = new ArrayList<>();
    private long end;

    /** Appends records at consecutive offsets and returns the first of them. */
    long append(List<byte[]> payloads, Instant now) {
        List<PendingRead> ready;
        long first;
        synchronized (this) {
            first = end;
            for (byte[] payload : payloads) {
                records.addLast(new LogRecord(end, now, payload));
                end++;
            }
            ready = takeReady();
        }
        ready.forEach(PendingRead::answer);
        return first;
    }

    private List<PendingRead> takeReady() {
        List<PendingRead> ready =
                pending.stream().filter(read -> read.from() < end).toList();
        pending.removeAll(ready);
        return ready;
    }

    /** Removes the records that were appended before an instant. */
    synchronized void expire(Instant now, Duration retention) {
        while (!records.isEmpty()
                && !records.peekFirst().appendedAt().plus(retention).isAfter(now)) {
            records.removeFirst();
        }
    }

    /** Returns the answer to a read, which has no records if it would have to wait. */
    synchronized ReadResult read(long from, int limit) {
        long earliest = records.isEmpty() ? end : records.peekFirst().offset();
        if (from < earliest) {
            return new ReadResult.Expired(earliest);
        }
        List<LogRecord> found =
                records.stream().skip(from - earliest).limit(limit).toList();
        return new ReadResult.Records(from + found.size(), end, found);
    }

    /** Remembers a read until its offset exists; false if the offset exists already. */
    synchronized boolean await(PendingRead read) {
        return read.from() >= end && pending.add(read);
    }

    /** Removes a read that waits; false if it does not wait any more. */
    synchronized boolean cancel(PendingRead read) {
        return pending.remove(read);
    }

    /** Removes and returns all reads that wait. */
    synchronized List<PendingRead> takePending() {
        List<PendingRead> all = List.copyOf(pending);
        pending.clear();
        return all;
    }
}
