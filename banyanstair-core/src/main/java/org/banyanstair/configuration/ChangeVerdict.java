package org.banyanstair.configuration;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.errors.Failure;

/** Whether a configuration change was accepted, which the order of the log decides. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "verdict")
public sealed interface ChangeVerdict {
    /** The change is in force. */
    record Accepted(long version) implements ChangeVerdict {}

    /**
     * The change has no effect.
     *
     * @param failure the reason, such as a conflict with another change or an invalid change
     */
    record Refused(Failure failure) implements ChangeVerdict {}
}
