package org.banyanstair.forwarder;

import java.util.List;
import java.util.Optional;

import org.banyanstair.forwarding.TopicRecord;

/** What a read of a topic returned. */
public sealed interface TopicPage {
    /**
     * Records.
     *
     * @param records the records
     * @param endOffset offset after the last record of the topic
     * @param nextPageAfter key after which the next page begins; empty if this is the last one
     */
    record Records(List<TopicRecord> records, long endOffset, Optional<String> nextPageAfter) implements TopicPage {}

    /** The wanted offset has been dropped. */
    record Expired() implements TopicPage {}

    /** The log service refused or sent what cannot be read. */
    record Unavailable(int status) implements TopicPage {}
}
