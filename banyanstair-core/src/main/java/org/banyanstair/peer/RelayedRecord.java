package org.banyanstair.peer;

/**
 * A record of a topic that is passed on to a host that cannot read it.
 *
 * @param key its key
 * @param value its value; empty if the key was removed
 * @param removed whether the key was removed
 * @param offset its offset
 */
public record RelayedRecord(String key, byte[] value, boolean removed, long offset) {}
