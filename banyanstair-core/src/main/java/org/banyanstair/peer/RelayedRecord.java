package org.banyanstair.peer;

/**
 * A topic record relayed to a host that cannot read the topic.
 *
 * @param value value of the key; empty if the key was removed
 * @param offset offset in the topic, in the era of the message
 */
public record RelayedRecord(String key, byte[] value, boolean removed, long offset) {}
