package org.banyanstair.testsupport.history;

import java.util.Optional;

/** Test oracle for the answers of the stand-ins, which depend on the request only. */
@FunctionalInterface
public interface AnswerOracle {
    /**
     * Computes the expected answer to a request.
     *
     * @param answered answer that the caller received
     * @return empty if the expected answer is unknown
     */
    Optional<ExpectedAnswer> expected(HistoryEvent.Answered answered);
}
