package org.banyanstair.forwarding;

/**
 * A base model that runners of a service can hold.
 *
 * @param name its name
 * @param megabytes size of its weights
 */
public record BaseModel(String name, double megabytes) {}
