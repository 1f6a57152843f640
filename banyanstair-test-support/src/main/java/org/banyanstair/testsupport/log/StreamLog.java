package org.banyanstair.testsupport.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.banyanstair.external.LogRecord;
import org.banyanstair.external.ReadResult;

/** Holds the records and the pending reads of one stream. Thread-safe. */
final class StreamLog {
    /** Minimum number of expired records to remove at once, because removal copies the rest of the list. */
    private static final int COMPACTION_LENGTH = 1_000;

    private final List<LogRecord> records = new ArrayList<>();
    private final List<PendingRead> pending = new ArrayList<>();
    private long firstOffset;
    private int expired;

    /** Appends records at consecutive offsets and returns the first offset. */
    long append(List<byte[]> payloads, Instant now) {
        List<PendingRead> ready;
        long first;
        synchronized (this) {
            first = endOffset();
            payloads.forEach(payload -> records.add(new LogRecord(endOffset(), now, payload)));
            ready = removeReady();
        }
        ready.forEach(PendingRead::complete);
        return first;
    }

    private List<PendingRead> removeReady() {
        List<PendingRead> ready =
                pending.stream().filter(read -> read.fromOffset() < endOffset()).toList();
        pending.removeAll(ready);
        return ready;
    }

    private long endOffset() {
        return firstOffset + records.size();
    }

    /** Makes records older than the retention unreadable. */
    synchronized void expire(Instant now, Duration retention) {
        while (expired < records.size()
                && !records.get(expired).appendedAt().plus(retention).isAfter(now)) {
            expired++;
        }
        if (expired >= COMPACTION_LENGTH && expired * 2 >= records.size()) {
            records.subList(0, expired).clear();
            firstOffset += expired;
            expired = 0;
        }
    }

    /** Returns up to {@code limit} records from an offset on, none if the offset does not exist yet. */
    synchronized ReadResult read(long from, int limit) {
        long earliest = firstOffset + expired;
        if (from < earliest) {
            return new ReadResult.Expired(earliest);
        }
        int start = (int) Math.min(records.size(), from - firstOffset);
        int stop = (int) Math.min(records.size(), (long) start + limit);
        List<LogRecord> found = List.copyOf(records.subList(start, stop));
        return new ReadResult.Records(from + found.size(), endOffset(), found);
    }

    /** Adds a read that waits for its offset; returns false if the offset exists already. */
    synchronized boolean addPending(PendingRead read) {
        return read.fromOffset() >= endOffset() && pending.add(read);
    }

    /** Removes a pending read; returns false if it is no longer pending. */
    synchronized boolean removePending(PendingRead read) {
        return pending.remove(read);
    }

    /** Removes and returns all pending reads. */
    synchronized List<PendingRead> removeAllPending() {
        List<PendingRead> all = List.copyOf(pending);
        pending.clear();
        return all;
    }
}
