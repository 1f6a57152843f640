package org.banyanstair.forwarder;

import java.util.List;
import java.util.Optional;

import org.banyanstair.forwarding.TopicRecord;

/** Result of reading a topic. */
public sealed interface TopicPage {
    /**
     * Records of the topic.
     *
     * @param endOffset offset after the last record of the topic
     * @param nextPageAfter key after which the next page begins; empty for the last page
     */
    record Records(List<TopicRecord> records, long endOffset, Optional<String> nextPageAfter) implements TopicPage {}

    /** The requested offset is no longer retained. */
    record Expired() implements TopicPage {}

    /** The log service rejected the read, or its response cannot be parsed. */
    record Unavailable(int status) implements TopicPage {}
}
