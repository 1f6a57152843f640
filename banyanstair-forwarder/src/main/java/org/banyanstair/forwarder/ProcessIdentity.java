package org.banyanstair.forwarder;

/** What an endpoint's response says about the process that wrote it. */
public enum ProcessIdentity {
    /** It is the expected process. */
    EXPECTED,

    /** It is another process, of the same endpoint or of another one. */
    OTHER,

    /** The endpoint does not tell its processes apart. */
    UNTOLD,

    /** The response is none to the question. */
    FAILED
}
