package org.banyanstair.forwarding;

import java.util.Optional;

/**
 * The newest record of a key.
 *
 * @param key the key
 * @param value the value as stored, not to be changed; empty if the key was removed
 * @param offset its place in the topic
 */
public record TopicRecord(String key, Optional<byte[]> value, long offset) {}
