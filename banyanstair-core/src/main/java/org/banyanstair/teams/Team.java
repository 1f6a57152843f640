package org.banyanstair.teams;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A team of the deployment; immutable.
 *
 * @param keys digests of its API keys; one that has none cannot send requests
 * @param rank urgency of its requests, 0 is the most urgent; empty for the rank of their route
 * @param allotment limit of its use; empty for none
 */
public record Team(TeamName name, Set<KeyDigest> keys, OptionalInt rank, Optional<Allotment> allotment) {
    /** Copies the keys. */
    public Team {
        Objects.requireNonNull(name, "name");
        keys = Set.copyOf(keys);
    }
}
