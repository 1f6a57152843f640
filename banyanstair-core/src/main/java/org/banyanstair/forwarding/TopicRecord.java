package org.banyanstair.forwarding;

import java.util.Optional;

/**
 * The newest record of a key.
 *
 * @param value the value as stored, must not be modified; empty if the key was removed
 * @param offset its offset in the topic
 */
public record TopicRecord(String key, Optional<byte[]> value, long offset) {}
