package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.external.Topic;

/** Decodes records of the platform's topics; implementations have no side effects. */
@FunctionalInterface
public interface RecordDecoder {
    /**
     * Decodes a record that has a value; empty if the record is invalid or irrelevant here.
     *
     * @param now reference instant for times that the record gives as remaining durations
     */
    Optional<DecodedRecord> decode(Topic topic, TopicRecord entry, Instant now);
}
