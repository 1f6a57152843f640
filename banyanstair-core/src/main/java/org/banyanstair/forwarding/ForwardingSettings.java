package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Objects;

import org.banyanstair.locality.LocalitySettings;
import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.teams.TeamSettings;

/**
 * Settings of the forwarding decisions; the times are those that the platform's operator specifies.
 *
 * @param announcement addresses and capacity that this host announces
 * @param systemStarts whether the whole system starts for the first time, so that nothing has been written to the log
 * @param retryShare maximum share of retries among the requests of all hosts
 * @param retrySlack retries of all hosts per window that are allowed in excess of that share
 * @param leaseTerm minimum time between commands of two hosts to the same runner
 * @param versionTerm time within which a newly published adapter version must be in use
 * @param teams terms for teams
 * @param locality terms on which requests may leave the data centre
 */
public record ForwardingSettings(
        HostIdentity identity,
        HostAnnouncement announcement,
        boolean systemStarts,
        double retryShare,
        int retrySlack,
        Duration leaseTerm,
        Duration versionTerm,
        TeamSettings teams,
        LocalitySettings locality) {
    public ForwardingSettings {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(announcement, "announcement");
        Objects.requireNonNull(leaseTerm, "leaseTerm");
        Objects.requireNonNull(versionTerm, "versionTerm");
        Objects.requireNonNull(teams, "teams");
        Objects.requireNonNull(locality, "locality");
    }
}
