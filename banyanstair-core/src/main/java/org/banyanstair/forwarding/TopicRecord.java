package org.banyanstair.forwarding;

import java.util.Optional;

import org.banyanstair.history.LogPosition;

/**
 * The newest record of a key.
 *
 * @param value the value as stored, must not be modified; empty if the key was removed
 * @param position its position in the topic
 */
public record TopicRecord(String key, Optional<byte[]> value, LogPosition position) {}
