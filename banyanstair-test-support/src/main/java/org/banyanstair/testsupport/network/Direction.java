package org.banyanstair.testsupport.network;

/** Direction of data through a proxy. */
public enum Direction {
    /** From the side that opened the connection to the target. */
    TO_TARGET,
    /** From the target to the side that opened the connection. */
    TO_CLIENT
}
