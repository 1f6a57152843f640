package org.banyanstair.forwarder;

import java.util.List;
import java.util.Optional;

import org.banyanstair.forwarding.TopicRecord;
import org.banyanstair.history.LogPosition;

/** Result of reading a topic. */
public sealed interface TopicPage {
    /**
     * Records of the topic.
     *
     * @param end position after the last record of the topic
     * @param nextPageAfter key after which the next page begins; empty for the last page
     */
    record Records(List<TopicRecord> records, LogPosition end, Optional<String> nextPageAfter) implements TopicPage {}

    /** The requested offset is no longer retained. */
    record Expired() implements TopicPage {}

    /** The log service rejected the read, or its response cannot be parsed. */
    record Unavailable(int status) implements TopicPage {}
}
