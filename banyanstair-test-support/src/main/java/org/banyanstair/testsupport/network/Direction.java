package org.banyanstair.testsupport.network;

/** Direction of data through a {@link FaultProxy}. */
public enum Direction {
    /** From the client to the target. */
    TO_TARGET,
    /** From the target to the client. */
    TO_CLIENT
}
