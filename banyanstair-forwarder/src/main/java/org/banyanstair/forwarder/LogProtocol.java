package org.banyanstair.forwarder;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import org.banyanstair.external.Topic;
import org.banyanstair.forwarding.DecodedRecord;
import org.banyanstair.forwarding.RecordDecoder;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.NetworkAddress;

/** How the platform's log service speaks. Implementations have no state. */
public interface LogProtocol extends RecordDecoder {
    /**
     * Returns the address of the log service.
     *
     * @return the address
     */
    NetworkAddress address();

    /**
     * Creates a read of the newest record of each key.
     *
     * @param topic the topic
     * @param after key after which to begin; empty for the first page
     * @return the request
     */
    FullHttpRequest snapshotRequest(Topic topic, Optional<String> after);

    /**
     * Creates a read of records.
     *
     * @param topic the topic
     * @param offset first offset
     * @param wait how long to wait for a record
     * @return the request
     */
    FullHttpRequest recordsRequest(Topic topic, long offset, Duration wait);

    /**
     * Reads the answer to a read of the newest records.
     *
     * @param response the answer
     * @return what it says
     */
    TopicPage parseSnapshot(FullHttpResponse response);

    /**
     * Reads the answer to a read of records.
     *
     * @param response the answer
     * @param offset first offset that was asked for
     * @return what it says
     */
    TopicPage parseRecords(FullHttpResponse response, long offset);

    /**
     * Creates an append of a claim.
     *
     * @param claim the claim
     * @param expectedEnd offset at which the topic must end
     * @return the request
     */
    FullHttpRequest claimAppendRequest(DecodedRecord.RunnerClaimed claim, long expectedEnd);

    /**
     * Creates an append of an announcement.
     *
     * @param announcement the announcement
     * @return the request
     */
    FullHttpRequest announcementAppendRequest(HostAnnouncement announcement);
}
