package org.banyanstair.testsupport.history;

import java.util.List;

import org.banyanstair.model.AdapterVersion;

/** Violation of a guarantee of the system, found in a history. */
public sealed interface Violation {
    /** The answer names another adapter or version than the request. */
    record AnsweredByAnotherVersion(HistoryEvent.Answered answered) implements Violation {}

    /**
     * An endpoint ran the request on another version than the answer names.
     *
     * @param ran adapter version that the request ran on
     */
    record RanOnAnotherVersion(HistoryEvent.Answered answered, AdapterVersion ran) implements Violation {}

    /**
     * The text or the number of tokens is wrong.
     *
     * @param expected answer that the oracle computed
     */
    record WrongText(HistoryEvent.Answered answered, ExpectedAnswer expected) implements Violation {}

    /**
     * A request ran although it was reported as not run.
     *
     * @param notRun event of the report
     */
    record RanAlthoughNotRun(HistoryEvent.NotRun notRun, EndpointRun run) implements Violation {}

    /** A non-idempotent request ran more than once. */
    record RanMoreThanOnce(String key, List<EndpointRun> runs) implements Violation {}

    /**
     * No endpoint ran a non-idempotent request that was acknowledged.
     *
     * @param answered the acknowledgement
     */
    record AcknowledgedButNeverRan(HistoryEvent.Answered answered) implements Violation {}

    /**
     * An adapter was unloaded while a request ran on it.
     *
     * @param run the request
     */
    record UnloadedInUse(EndpointUnload unload, EndpointRun run) implements Violation {}
}
