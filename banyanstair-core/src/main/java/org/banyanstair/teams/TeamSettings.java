package org.banyanstair.teams;

import java.time.Duration;

/**
 * Terms for teams that the platform's operator specifies.
 *
 * @param strictRevocation whether a key that was taken away must not be used after the revocation term on any host,
 *     also on one that is cut off
 * @param revocationTerm time after which a key that was taken away must not be used
 * @param allotmentWindow time over which the use of an allotment is judged
 * @param allotmentExcess share by which the use may exceed the allotment, at least 0
 * @param allotmentSlack units by which it may exceed the allotment besides, at least 0
 */
public record TeamSettings(
        boolean strictRevocation,
        Duration revocationTerm,
        Duration allotmentWindow,
        double allotmentExcess,
        double allotmentSlack) {
    /** For a deployment that specifies nothing. */
    public static final TeamSettings DEFAULT =
            new TeamSettings(false, Duration.ofSeconds(5), Duration.ofSeconds(10), 0, 0);

    public TeamSettings {
        if (revocationTerm.isNegative() || !(allotmentExcess >= 0) || !(allotmentSlack >= 0)) {
            throw new IllegalArgumentException("invalid terms for teams");
        }
    }
}
