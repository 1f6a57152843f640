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
import org.banyanstair.forwarding.RecordDecoder;
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

    /** Parses a page of the newest records. */
    TopicPage parseSnapshot(FullHttpResponse response);

    /**
     * Parses a sequence of records.
     *
     * @param offset offset from which records were requested
     */
    TopicPage parseRecords(FullHttpResponse response, long offset);

    /**
     * Builds a request that appends a claim of a runner.
     *
     * @param expectedEnd end offset that the topic must have, otherwise the service rejects the append
     */
    FullHttpRequest claimAppendRequest(DecodedRecord.RunnerClaimed claim, long expectedEnd);

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

    /** Builds a request that appends the announcement of a host. */
    FullHttpRequest announcementAppendRequest(HostAnnouncement announcement);
}
