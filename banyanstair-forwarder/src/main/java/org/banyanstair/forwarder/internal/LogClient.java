package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import org.banyanstair.external.Topic;
import org.banyanstair.forwarder.LogProtocol;
import org.banyanstair.forwarder.TopicPage;
import org.banyanstair.forwarding.DecisionRecord;
import org.banyanstair.forwarding.ForwardingEffect;
import org.banyanstair.forwarding.ForwardingEvent;
import org.banyanstair.forwarding.TopicRecord;
import org.banyanstair.history.LogPosition;
import org.tinylog.Logger;

/** Reads topics of the log service and appends to them. Used on the event loop thread only. */
public final class LogClient {
    /** Time-out of a call, in addition to the time for which a read may wait for records. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(900);

    /** Maximum response; a page holds 1 MB of records, a third more in base64, and may exceed that by one record. */
    private static final int MAXIMUM_RESPONSE_BYTES = 4 << 20;

    private final ForwarderContext forwarder;
    private final EventLoop loop;
    private final LogProtocol protocol;
    private final Map<Topic, ResponseAggregator> reads = new EnumMap<>(Topic.class);
    private OptionalLong lastEra = OptionalLong.empty();
    private boolean missingEraReported;

    /** Creates a client. */
    public LogClient(ForwarderContext forwarder, EventLoop loop) {
        this.forwarder = forwarder;
        this.loop = loop;
        this.protocol = forwarder.protocols().log();
    }

    /** Reads the newest record of each key, page by page. */
    public void readNewest(ForwardingEffect.ReadNewest read) {
        readPage(read.topic(), forwarder.now(), Optional.empty(), new ArrayList<>(), Optional.empty());
    }

    private void readPage(
            Topic topic,
            Instant startedAt,
            Optional<String> after,
            List<TopicRecord> records,
            Optional<LogPosition> lowestEnd) {
        read("snapshot", topic, protocol.snapshotRequest(topic, after), RESPONSE_TIMEOUT, result -> {
            Optional<TopicPage.Records> page = result.map(response -> protocol.parseSnapshot(response, eraOf(response)))
                    .filter(TopicPage.Records.class::isInstance)
                    .map(TopicPage.Records.class::cast);
            boolean restored = page.isPresent()
                    && lowestEnd
                            .filter(end -> end.era() != page.get().end().era())
                            .isPresent();
            if (page.isEmpty() || restored) {
                reportUnavailable(topic, result);
                return;
            }
            records.addAll(page.get().records());
            // Pages are not a consistent snapshot. Reading goes on from the end of the first page, so that records
            // appended meanwhile are not missed.
            LogPosition end = lowestEnd
                    .filter(page.get().end()::isAfter)
                    .orElse(page.get().end());
            if (page.get().nextPageAfter().isPresent()) {
                readPage(topic, startedAt, page.get().nextPageAfter(), records, Optional.of(end));
            } else {
                forwarder.submit(new ForwardingEvent.TopicRead(topic, startedAt, true, records, end));
            }
        });
    }

    /** Reads the records from a position on. */
    public void readFrom(ForwardingEffect.ReadFrom read) {
        Instant startedAt = forwarder.now();
        Duration wait = Duration.between(startedAt, read.waitUntil());
        read(
                "read",
                read.topic(),
                protocol.recordsRequest(read.topic(), read.from().offset(), wait),
                wait.plus(RESPONSE_TIMEOUT),
                result -> {
                    Optional<TopicPage> page = result.map(response -> protocol.parseRecords(
                            response,
                            new LogPosition(eraOf(response), read.from().offset())));
                    if (page.isPresent() && page.get() instanceof TopicPage.Records found) {
                        forwarder.submit(new ForwardingEvent.TopicRead(
                                read.topic(), startedAt, false, found.records(), found.end()));
                    } else if (page.isPresent() && page.get() instanceof TopicPage.Expired) {
                        forwarder.submit(new ForwardingEvent.TopicExpired(read.topic()));
                    } else {
                        reportUnavailable(read.topic(), result);
                    }
                });
    }

    /** Starts a read of a topic; an earlier one that has not ended is cancelled. */
    private void read(
            String operation,
            Topic topic,
            FullHttpRequest request,
            Duration timeout,
            Consumer<Optional<FullHttpResponse>> callback) {
        Optional.ofNullable(reads.remove(topic)).ifPresent(ResponseAggregator::cancel);
        reads.put(topic, call(operation, request, timeout, callback));
    }

    private ResponseAggregator call(
            String operation,
            FullHttpRequest request,
            Duration timeout,
            Consumer<Optional<FullHttpResponse>> callback) {
        return ResponseAggregator.send(
                forwarder.connections(),
                protocol.address(),
                request,
                timeout,
                MAXIMUM_RESPONSE_BYTES,
                () -> forwarder.submit(new ForwardingEvent.LogCallTimedOut()),
                forwarder.metrics().timeLogCall(operation, forwarder::now, response -> {
                    response.ifPresent(this::observeEra);
                    callback.accept(response);
                }));
    }

    /** Returns the era of a response; the last one known if it names none. */
    private long eraOf(FullHttpResponse response) {
        return protocol.era(response).orElse(lastEra.orElse(0));
    }

    private void observeEra(FullHttpResponse response) {
        OptionalLong era = protocol.era(response);
        if (era.isPresent() && !era.equals(lastEra)) {
            lastEra = era;
            forwarder.submit(new ForwardingEvent.LogEraObserved(era.getAsLong()));
        } else if (era.isEmpty() && !missingEraReported) {
            missingEraReported = true;
            forwarder.log(DecisionRecord.important(
                    "log-era-missing", "status", response.status().code()));
        }
    }

    private void reportUnavailable(Topic topic, Optional<FullHttpResponse> result) {
        Logger.debug(
                "read of {} failed: {}",
                topic,
                result.map(response -> response.status().toString()).orElse("no response"));
        forwarder.submit(new ForwardingEvent.TopicUnavailable(topic));
    }

    /** Appends a claim of a runner. */
    public void append(ForwardingEffect.AppendClaim append) {
        call("append", protocol.claimAppendRequest(append.claim(), append.expectedEnd()), RESPONSE_TIMEOUT, result -> {
            if (result.isPresent()) {
                forwarder.submit(new ForwardingEvent.AppendCompleted(Topic.CLAIMS));
            }
        });
    }

    /** Appends a refusal; the reducer appends it again if it does not read it back. */
    public void append(ForwardingEffect.AppendPartRefusal append) {
        call(
                "append",
                protocol.refusalAppendRequest(append.refusal(), forwarder.now()),
                RESPONSE_TIMEOUT,
                result -> {});
    }

    /** Appends a request that crashes endpoints; the reducer appends it again if it does not read it back. */
    public void append(ForwardingEffect.AppendCrashedRequest append) {
        call(
                "append",
                protocol.crashedRequestAppendRequest(append.request(), forwarder.now()),
                RESPONSE_TIMEOUT,
                result -> {});
    }

    /** Appends which versions began streams; the reducer appends them again if this does not complete. */
    public void append(ForwardingEffect.AppendStreams append) {
        call("append", protocol.streamsAppendRequest(append, forwarder.now()), RESPONSE_TIMEOUT, result -> {
            if (isAppended(result)) {
                forwarder.submit(new ForwardingEvent.AppendCompleted(Topic.STREAMS));
            }
        });
    }

    /** Appends which versions serve; retried until it succeeds. */
    public void append(ForwardingEffect.AppendVersions append) {
        call("append", protocol.versionsAppendRequest(append, forwarder.now()), RESPONSE_TIMEOUT, result -> {
            if (!isAppended(result)) {
                loop.schedule(() -> append(append), 1, TimeUnit.SECONDS);
            }
        });
    }

    private static boolean isAppended(Optional<FullHttpResponse> result) {
        return result.filter(response -> response.status().code() == 200).isPresent();
    }

    /** Appends the announcement of this host; retried until it succeeds. */
    public void append(ForwardingEffect.AppendAnnouncement append) {
        call("append", protocol.announcementAppendRequest(append.announcement()), RESPONSE_TIMEOUT, result -> {
            if (!isAppended(result)) {
                loop.schedule(() -> append(append), 1, TimeUnit.SECONDS);
            }
        });
    }
}
