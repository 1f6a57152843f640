package org.banyanstair.external;

/** A value that is stored as one record of a log stream; implemented by the record types of each stream. */
public interface LogEntry {}
