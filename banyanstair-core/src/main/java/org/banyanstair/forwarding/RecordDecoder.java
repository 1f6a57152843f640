package org.banyanstair.forwarding;

import java.time.Instant;
import java.util.Optional;

import org.banyanstair.external.Topic;

/** Reads what a record says; pure. */
@FunctionalInterface
public interface RecordDecoder {
    /**
     * Decodes a record that has a value.
     *
     * @param topic its topic
     * @param entry the record
     * @param now present instant, for times that the record gives as remaining
     * @return the fact; empty if the record cannot be read or concerns nothing that is known here
     */
    Optional<DecodedRecord> decode(Topic topic, TopicRecord entry, Instant now);
}
