package org.banyanstair.forwarder;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import org.banyanstair.crashes.CrashedRequest;
import org.banyanstair.external.Topic;
import org.banyanstair.forwarding.DecodedRecord;
import org.banyanstair.forwarding.ForwardingEffect;
import org.banyanstair.forwarding.RecordDecoder;
import org.banyanstair.history.LogPosition;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.NetworkAddress;

/** HTTP protocol of the platform's log service. Implementations are stateless. */
public interface LogProtocol extends RecordDecoder {
    NetworkAddress address();

    /**
     * Builds a request for one page of the newest record of each key.
     *
     * @param after key after which the page begins; empty for the first page
     */
    FullHttpRequest snapshotRequest(Topic topic, Optional<String> after);

    /**
     * Builds a request for records from an offset on.
     *
     * @param wait how long the service may wait for a record to arrive
     */
    FullHttpRequest recordsRequest(Topic topic, long offset, Duration wait);

    /**
     * Returns the era of the log that a response names, of any status; empty if it names none, or none that can be
     * read.
     */
    OptionalLong era(FullHttpResponse response);

    /**
     * Parses a page of the newest records.
     *
     * @param era era of the response
     */
    TopicPage parseSnapshot(FullHttpResponse response, long era);

    /**
     * Parses a sequence of records.
     *
     * @param from position from which records were requested, in the era of the response
     */
    TopicPage parseRecords(FullHttpResponse response, LogPosition from);

    /**
     * Builds a request that appends a claim of a runner.
     *
     * @param expectedEnd end that the topic must have, otherwise the service rejects the append; it compares offsets
     *     only, so the claim names its era
     */
    FullHttpRequest claimAppendRequest(DecodedRecord.RunnerClaimed claim, LogPosition expectedEnd);

    /**
     * Builds a request that appends the refusal of a prompt part.
     *
     * @param now the present on this host's monotonic clock; the record holds an instant of the wall clock
     */
    FullHttpRequest refusalAppendRequest(DecodedRecord.PartRefused refusal, Instant now);

    /**
     * Builds a request that appends which endpoints crashed while they ran a request.
     *
     * @param now the present on this host's monotonic clock; the record holds instants of the wall clock
     */
    FullHttpRequest crashedRequestAppendRequest(CrashedRequest request, Instant now);

    /**
     * Builds a request that appends which software versions began streams.
     *
     * @param now the present on this host's monotonic clock; the record holds instants of the wall clock
     */
    FullHttpRequest streamsAppendRequest(ForwardingEffect.AppendStreams streams, Instant now);

    /**
     * Builds a request that appends which software versions serve a service.
     *
     * @param now the present on this host's monotonic clock; the record holds instants of the wall clock
     */
    FullHttpRequest versionsAppendRequest(ForwardingEffect.AppendVersions versions, Instant now);

    /** Builds a request that appends the announcement of a host. */
    FullHttpRequest announcementAppendRequest(HostAnnouncement announcement);
}
