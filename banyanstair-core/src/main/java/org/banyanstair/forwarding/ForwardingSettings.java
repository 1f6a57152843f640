package org.banyanstair.forwarding;

import java.time.Duration;
import java.util.Objects;

import org.banyanstair.membership.HostAnnouncement;
import org.banyanstair.model.HostIdentity;

/**
 * Settings of the decisions; times as the operator of the platform gives them.
 *
 * @param identity this host and its run
 * @param announcement what this host tells others of itself
 * @param retryShare retries of all hosts as a share of their requests
 * @param retrySlack retries of all hosts in a window that are allowed beyond that share
 * @param leaseTerm time that must pass between commands of two hosts to one runner
 * @param versionTerm time in which a named adapter version must be in use
 */
public record ForwardingSettings(
        HostIdentity identity,
        HostAnnouncement announcement,
        double retryShare,
        int retrySlack,
        Duration leaseTerm,
        Duration versionTerm) {
    /** Checks that all parts are present. */
    public ForwardingSettings {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(announcement, "announcement");
        Objects.requireNonNull(leaseTerm, "leaseTerm");
        Objects.requireNonNull(versionTerm, "versionTerm");
    }
}
