package org.banyanstair.forwarding;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Whether a response names a limit of the requests that its endpoint takes from all hosts together.
 *
 * @param known whether the response would name a limit if there were one
 * @param perSecond the limit in requests a second, not negative; empty if the response names none
 * @param unreadable the text of a limit that cannot be read; empty if there is none
 */
public record RequestLimitNotice(boolean known, OptionalDouble perSecond, Optional<String> unreadable) {
    /** The response tells nothing of a limit. */
    public static final RequestLimitNotice UNKNOWN =
            new RequestLimitNotice(false, OptionalDouble.empty(), Optional.empty());

    /** Checks the limit. */
    public RequestLimitNotice {
        if (perSecond.isPresent() && !(perSecond.getAsDouble() >= 0)) {
            throw new IllegalArgumentException("negative limit " + perSecond.getAsDouble());
        }
    }

    /** Returns the notice of a response that names a limit in requests a second, or that names none. */
    public static RequestLimitNotice of(OptionalDouble perSecond) {
        return new RequestLimitNotice(true, perSecond, Optional.empty());
    }

    boolean saysSomething() {
        return perSecond.isPresent() || unreadable.isPresent();
    }
}
