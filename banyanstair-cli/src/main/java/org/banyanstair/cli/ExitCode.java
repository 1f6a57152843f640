package org.banyanstair.cli;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureOutcome;

/** Exit codes of the tool. */
public enum ExitCode {
    /** The command did what it was asked to do. */
    DONE(0),
    /** There are differences, an objective is missed, or a version is not in force everywhere in time. */
    NOT_REACHED(1),
    /** The command line or an input file is wrong. */
    INVALID_INPUT(2),
    /** Another change was accepted first. */
    CONFLICT(3),
    /** The operator API refused the request. */
    REFUSED(4),
    /** No operator address could be reached. */
    UNREACHABLE(5),
    /** It is not known whether a change was accepted. */
    OUTCOME_UNKNOWN(6);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /**
     * Returns the code of the process.
     *
     * @return 0 to 6
     */
    public int value() {
        return value;
    }

    /**
     * Returns the exit code for a command that ended with a failure.
     *
     * @param failure the failure
     * @return its exit code
     */
    public static ExitCode of(Failure failure) {
        if (failure instanceof Failure.InvalidSetting
                || failure instanceof Failure.InvalidField
                || failure instanceof Failure.MalformedInput) {
            return INVALID_INPUT;
        }
        if (failure instanceof Failure.ConfigurationConflict) {
            return CONFLICT;
        }
        if (failure instanceof Failure.OperatorUnreachable || failure instanceof Failure.HostUnreachable) {
            return UNREACHABLE;
        }
        return failure.outcome() == FailureOutcome.UNKNOWN ? OUTCOME_UNKNOWN : REFUSED;
    }
}
