package org.banyanstair.testsupport.log;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.banyanstair.external.ReadResult;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.fault.Counters;
import org.banyanstair.testsupport.fault.Faults;
import org.banyanstair.testsupport.fault.PlatformStandInServer;
import org.banyanstair.testsupport.fault.Reply;
import org.banyanstair.testsupport.fault.Request;

/**
 * Simulates the platform's log service with append-only streams in memory and long-polling reads.
 *
 * <p>Thread-safe. Reads do not count against the append rate limit.
 */
public final class LogServiceStandIn {
    /** Default limit of appends per second. */
    public static final int DEFAULT_APPENDS_PER_SECOND = 400;

    /** Bounds the response to a read from offset 0 of a long stream. */
    private static final int MAX_RECORDS_PER_READ = 1_000;

    private final InstantSource clock;
    private final Map<String, StreamLog> streams = new ConcurrentHashMap<>();
    private final Duration configuredRetention;
    private final AppendRateLimiter appendRateLimiter;
    private final PlatformStandInServer server;
    private volatile Duration retention;

    /**
     * Creates a log service that is not started.
     *
     * @param port TCP port on the loopback interface, 0 for a free one
     * @param retention time for which records are kept, at least 1 s
     * @param appendsPerSecond maximum number of appends in any period of one second
     */
    public LogServiceStandIn(int port, Duration retention, int appendsPerSecond) {
        this(port, retention, appendsPerSecond, Clock.systemUTC());
    }

    /**
     * Creates a log service that is not started and takes the age of records and the rate of appends from a clock.
     *
     * @param port TCP port on the loopback interface, 0 for a free one
     * @param retention time for which records are kept, at least 1 s
     * @param appendsPerSecond maximum number of appends in any period of one second
     * @param clock clock of retention and rate limit; must be thread-safe
     */
    public LogServiceStandIn(int port, Duration retention, int appendsPerSecond, InstantSource clock) {
        this.clock = clock;
        configuredRetention = retention;
        this.retention = retention;
        appendRateLimiter = new AppendRateLimiter(appendsPerSecond);
        server = new PlatformStandInServer(port)
                .operation("POST", "/streams/{name}/records", this::append)
                .operation("GET", "/streams/{name}/records", this::read)
                .faultControls(LogFaults.class, LogFaults::shared, this::faults, this::setFaults);
        counters().declare("appends", "appendedRecords", "reads", "refused", "bytes");
    }

    /** Starts listening and returns the address. */
    public NetworkAddress start() {
        return server.start();
    }

    /** Closes the listening socket and all connections; the records are lost. */
    public void stop() {
        server.stop();
    }

    /** Returns the server, which has the address and {@link PlatformStandInServer#awaitApplied}. */
    public PlatformStandInServer server() {
        return server;
    }

    /**
     * Returns the operation counts: {@code appends}, {@code appendedRecords}, {@code reads}, {@code refused},
     * {@code bytes}.
     */
    public Counters counters() {
        return server.counters();
    }

    /** Returns the faults in force. */
    public LogFaults faults() {
        Optional<Integer> changed = retention.equals(configuredRetention)
                ? Optional.empty()
                : Optional.of(Math.toIntExact(retention.toSeconds()));
        return new LogFaults(server.injector().get(), changed);
    }

    /** Replaces the faults in force. An outage also completes pending reads. */
    public void setFaults(LogFaults faults) {
        retention = faults.retentionSeconds().map(Duration::ofSeconds).orElse(configuredRetention);
        server.setFaults(faults.shared());
        if (server.injector().isUnavailable()) {
            streams.values().forEach(stream -> stream.removeAllPending()
                    .forEach(read -> server.timer().execute(read::complete)));
        }
    }

    /** Replaces the faults that all stand-ins share and keeps the retention. */
    public void setFaults(Faults faults) {
        setFaults(new LogFaults(faults, faults().retentionSeconds()));
    }

    private CompletableFuture<Reply> append(Request request) {
        List<byte[]> records = request.json(AppendRequest.class).records();
        Instant now = clock.instant();
        if (!appendRateLimiter.tryAcquire(now)) {
            counters().add("refused", 1);
            return CompletableFuture.completedFuture(Reply.error(429, "append_limit_reached"));
        }
        StreamLog stream = stream(request);
        stream.expire(now, retention);
        long first = stream.append(records, now);
        counters().add("appends", 1);
        counters().add("appendedRecords", records.size());
        counters()
                .add(
                        "bytes",
                        records.stream().mapToLong(record -> record.length).sum());
        return CompletableFuture.completedFuture(Reply.json(200, Map.of("firstOffset", first)));
    }

    private CompletableFuture<Reply> read(Request request) {
        StreamLog stream = stream(request);
        long from = requiredNumber(request, "from", 0);
        int limit = (int) Math.min(MAX_RECORDS_PER_READ, requiredNumber(request, "limit", 1));
        Instant waitUntil =
                request.query("waitUntil").map(LogServiceStandIn::parseInstant).orElse(Instant.EPOCH);
        counters().add("reads", 1);
        PendingRead pending = new PendingRead(from, () -> readNow(stream, from, limit));
        if (!clock.instant().isBefore(waitUntil) || hasExpired(stream, from) || !stream.addPending(pending)) {
            pending.complete();
            return pending.reply();
        }
        completeAt(waitUntil, stream, pending);
        return pending.reply();
    }

    private boolean hasExpired(StreamLog stream, long from) {
        stream.expire(clock.instant(), retention);
        return stream.read(from, 1) instanceof ReadResult.Expired;
    }

    private void completeAt(Instant waitUntil, StreamLog stream, PendingRead pending) {
        long delay = Math.max(1, Duration.between(clock.instant(), waitUntil).toMillis() + 1);
        ScheduledFuture<?> timeout = server.timer()
                .schedule(
                        () -> {
                            if (stream.removePending(pending)) {
                                pending.complete();
                            }
                        },
                        delay,
                        TimeUnit.MILLISECONDS);
        pending.reply().thenRun(() -> timeout.cancel(false));
    }

    private Reply readNow(StreamLog stream, long from, int limit) {
        if (server.injector().isUnavailable()) {
            return Reply.error(503, "unavailable");
        }
        stream.expire(clock.instant(), retention);
        ReadResult result = stream.read(from, limit);
        if (result instanceof ReadResult.Expired) {
            return Reply.json(410, Map.of("earliest", ((ReadResult.Expired) result).earliest()));
        }
        return Reply.json(200, result);
    }

    private StreamLog stream(Request request) {
        return streams.computeIfAbsent(request.path("name"), name -> new StreamLog());
    }

    private static long requiredNumber(Request request, String name, long minimum) {
        long value = request.query(name)
                .map(Long::parseLong)
                .orElseThrow(() -> new IllegalArgumentException(name + " is required"));
        if (value < minimum) {
            throw new IllegalArgumentException(name + " must be at least " + minimum);
        }
        return value;
    }

    private static Instant parseInstant(String text) {
        try {
            return Instant.parse(text);
        } catch (DateTimeParseException exception) {
            throw new IllegalArgumentException("waitUntil must be an RFC 3339 instant", exception);
        }
    }
}
