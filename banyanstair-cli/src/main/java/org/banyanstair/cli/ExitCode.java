package org.banyanstair.cli;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureOutcome;

/** Exit codes of the tool. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /**
     * Differences were found, an objective is missed, the logs do not contain the request, or a version is not in
     * force on all live hosts in time.
     */
    NOT_REACHED(1),
    /** The command line or an input file is invalid. */
    INVALID_INPUT(2),
    /** Another change was accepted first, or another version than the base version is in force. */
    CONFLICT(3),
    /** The operator API refused the request. */
    REFUSED(4),
    /** No operator address could be reached. */
    UNREACHABLE(5),
    /** The change may or may not have been accepted. */
    OUTCOME_UNKNOWN(6);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** Returns the exit code of the process, 0 to 6. */
    public int value() {
        return value;
    }

    /** Returns the exit code of a command that ended with a failure. */
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
