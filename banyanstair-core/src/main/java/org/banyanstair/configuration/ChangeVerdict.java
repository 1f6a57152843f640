package org.banyanstair.configuration;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.errors.Failure;

/** What log order decided about a change. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "verdict")
public sealed interface ChangeVerdict {
    /** The change is in force. */
    record Accepted(long version) implements ChangeVerdict {}

    /**
     * The change has no effect.
     *
     * @param failure conflict or invalid change
     */
    record Refused(Failure failure) implements ChangeVerdict {}
}
