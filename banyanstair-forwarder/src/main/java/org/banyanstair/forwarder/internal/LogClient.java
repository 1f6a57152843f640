package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import org.banyanstair.external.Topic;
import org.banyanstair.forwarder.LogProtocol;
import org.banyanstair.forwarder.TopicPage;
import org.banyanstair.forwarding.ForwardingEffect;
import org.banyanstair.forwarding.ForwardingEvent;
import org.banyanstair.forwarding.TopicRecord;
import org.tinylog.Logger;

/** Carries out reads of topics and appends to them. Used on the thread of the connections only. */
public final class LogClient {
    /** Time beyond the wait of a read after which its connection counts as silent. */
    private static final Duration ANSWER_LIMIT = Duration.ofMillis(900);

    /** Longest answer; a page of the log holds 1 MB of records, a third more in text, and one record beyond it. */
    private static final int ANSWER_BYTES = 4 << 20;

    private final ForwarderContext shell;
    private final EventLoop loop;
    private final LogProtocol protocol;

    /**
     * Creates a reader.
     *
     * @param shell the daemon
     * @param loop thread of the connections
     */
    public LogClient(ForwarderContext shell, EventLoop loop) {
        this.shell = shell;
        this.loop = loop;
        this.protocol = shell.protocols().log();
    }

    /**
     * Reads the newest record of each key.
     *
     * @param read what to read
     */
    public void readNewest(ForwardingEffect.ReadNewest read) {
        readPage(read.topic(), shell.now(), Optional.empty(), new ArrayList<>(), Long.MAX_VALUE);
    }

    private void readPage(
            Topic topic, Instant startedAt, Optional<String> after, List<TopicRecord> records, long knownEnd) {
        ask("snapshot", protocol.readNewest(topic, after), ANSWER_LIMIT, answer -> {
            Optional<TopicPage.Records> page = answer.map(protocol::newest)
                    .filter(TopicPage.Records.class::isInstance)
                    .map(TopicPage.Records.class::cast);
            if (page.isEmpty()) {
                unavailable(topic, answer);
                return;
            }
            records.addAll(page.get().records());
            // Pages are no snapshot: what was appended after the first page is read again from there.
            long end = Math.min(knownEnd, page.get().end());
            if (page.get().continueAfter().isPresent()) {
                readPage(topic, startedAt, page.get().continueAfter(), records, end);
            } else {
                shell.submit(new ForwardingEvent.TopicRead(topic, startedAt, true, records, end));
            }
        });
    }

    /**
     * Reads the records from an offset on.
     *
     * @param read what to read
     */
    public void readFrom(ForwardingEffect.ReadFrom read) {
        Instant startedAt = shell.now();
        Duration wait = Duration.between(startedAt, read.waitUntil());
        ask("read", protocol.readFrom(read.topic(), read.offset(), wait), wait.plus(ANSWER_LIMIT), answer -> {
            Optional<TopicPage> page = answer.map(response -> protocol.records(response, read.offset()));
            if (page.isPresent() && page.get() instanceof TopicPage.Records found) {
                shell.submit(
                        new ForwardingEvent.TopicRead(read.topic(), startedAt, false, found.records(), found.end()));
            } else if (page.isPresent() && page.get() instanceof TopicPage.Expired) {
                shell.submit(new ForwardingEvent.TopicExpired(read.topic()));
            } else {
                unavailable(read.topic(), answer);
            }
        });
    }

    private void ask(
            String operation, FullHttpRequest request, Duration limit, Consumer<Optional<FullHttpResponse>> receiver) {
        ResponseAggregator.request(
                shell.connections(),
                loop,
                protocol.address(),
                request,
                limit,
                ANSWER_BYTES,
                shell.metrics().timeLogCall(operation, shell::now, receiver));
    }

    private void unavailable(Topic topic, Optional<FullHttpResponse> answer) {
        Logger.debug(
                "read of {} failed: {}",
                topic,
                answer.map(response -> response.status().toString()).orElse("no answer"));
        shell.submit(new ForwardingEvent.TopicUnavailable(topic));
    }

    /**
     * Appends a claim.
     *
     * @param append what to append
     */
    public void append(ForwardingEffect.AppendClaim append) {
        ask("append", protocol.appendClaim(append.claim(), append.expectedEnd()), ANSWER_LIMIT, answer -> {
            if (answer.isPresent()) {
                shell.submit(new ForwardingEvent.AppendCompleted(Topic.CLAIMS));
            }
        });
    }

    /**
     * Appends an announcement.
     *
     * @param append what to append
     */
    public void append(ForwardingEffect.AppendAnnouncement append) {
        ask("append", protocol.appendAnnouncement(append.announcement()), ANSWER_LIMIT, answer -> {
            boolean done =
                    answer.filter(response -> response.status().code() == 200).isPresent();
            if (!done) {
                loop.schedule(() -> append(append), 1, TimeUnit.SECONDS);
            }
        });
    }
}
