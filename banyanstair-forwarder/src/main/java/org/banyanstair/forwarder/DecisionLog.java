package org.banyanstair.forwarder;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.banyanstair.forwarding.DecisionRecord;
import org.tinylog.Logger;

/**
 * Writes each decision as one line of JSON, on a background thread.
 *
 * <p>Also writes the lines of the process's loggers, since both share one output. Never blocks the caller: lines that do not fit into the bounded queue are dropped and counted. Lines of served
 * requests are dropped long before those of refusals, failures and state changes. Thread-safe.
 */
public final class DecisionLog {
    /** Capacity of the queue; about 2 MB of lines. */
    private static final int QUEUE_CAPACITY_LINES = 8192;

    /** Lines of served requests are dropped while the queue is longer than this. */
    private static final int ORDINARY_LINE_LIMIT = 2048;

    /** Time for which lines are batched, because each write costs a system call. */
    private static final Duration BATCH_INTERVAL = Duration.ofMillis(100);

    /** A host that stops has half a second left when its requests have ended. */
    private static final Duration STOP_TIMEOUT = Duration.ofMillis(300);

    private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final String host;
    private final OutputStream output;
    private final JsonFactory factory = new JsonFactory();
    private final Thread thread = new Thread(this::writeLines, "decision-log");
    private volatile boolean stopping;

    private record Line(Instant at, DecisionRecord decision) {}

    /**
     * Creates a log; {@link #start} starts its thread.
     *
     * @param host name of this host, part of each line
     */
    public DecisionLog(String host, OutputStream output) {
        this.host = host;
        this.output = output;
        thread.setDaemon(true);
    }

    /** Starts to write lines, also those of the process's loggers. */
    public void start() {
        DecisionLogWriter.redirectTo(this);
        thread.start();
    }

    /** Writes the queued lines and ends the thread; waits for a short time at most, if the output is blocked. */
    public void stop() {
        DecisionLogWriter.endRedirection(this);
        stopping = true;
        thread.interrupt();
        try {
            thread.join(STOP_TIMEOUT.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Queues a line. */
    public void write(DecisionRecord decision) {
        boolean fits = decision.important() || queue.size() < ORDINARY_LINE_LIMIT;
        if (!fits || !queue.offer(new Line(Instant.now(), decision))) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the total number of lines dropped since the start. */
    public long droppedLines() {
        return dropped.get();
    }

    private void writeLines() {
        long reportedLines = 0;
        while (!stopping || !queue.isEmpty()) {
            try {
                Line first = queue.poll(1, TimeUnit.SECONDS);
                collectBatch();
                if (first != null) {
                    writeBatch(first);
                }
                if (dropped.get() > reportedLines) {
                    long total = dropped.get();
                    writeBatch(new Line(
                            Instant.now(),
                            DecisionRecord.important("log-lines-dropped", "lines", total - reportedLines)));
                    reportedLines = total;
                }
            } catch (InterruptedException exception) {
                // Only stop() interrupts this thread; the loop ends once the queue is empty.
                Logger.debug("decision log stopping");
            } catch (IOException | RuntimeException exception) {
                DecisionLogWriter.endRedirection(this);
                Logger.error(exception, "cannot write the decision log; no further decisions are logged");
                return;
            }
        }
    }

    private void collectBatch() {
        try {
            if (!stopping) {
                Thread.sleep(BATCH_INTERVAL.toMillis());
            }
        } catch (InterruptedException exception) {
            // Only stop() interrupts this thread; the batch that has begun is written before it ends.
            Logger.debug("decision log stopping");
        }
    }

    private void writeBatch(Line first) throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(4096);
        for (Line line = first; line != null; line = queue.poll()) {
            encode(line, buffer);
        }
        buffer.writeTo(output);
        output.flush();
    }

    private void encode(Line line, ByteArrayOutputStream buffer) throws IOException {
        try (JsonGenerator json = factory.createGenerator(buffer)) {
            json.writeStartObject();
            json.writeStringField("at", line.at().toString());
            json.writeStringField("host", host);
            json.writeStringField("kind", line.decision().kind());
            for (Map.Entry<String, Object> field : line.decision().fields().entrySet()) {
                Object value = field.getValue();
                if (value instanceof Boolean flag) {
                    json.writeBooleanField(field.getKey(), flag);
                } else if (value instanceof Number number) {
                    json.writeNumberField(field.getKey(), number.longValue());
                } else {
                    json.writeStringField(field.getKey(), String.valueOf(value));
                }
            }
            json.writeEndObject();
        }
        buffer.write('\n');
    }
}
