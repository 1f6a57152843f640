package org.banyanstair.forwarding;

/**
 * A base model that runners of a service can hold.
 *
 * @param megabytes size of the weights
 */
public record BaseModel(String name, double megabytes) {}
