package org.banyanstair.model;

/**
 * One incarnation of the daemon on an entry host.
 *
 * <p>When its daemon restarts, a host keeps its id and gets a higher incarnation.
 *
 * @param incarnation increases with each start of the daemon on this host
 */
public record HostIdentity(HostId host, long incarnation) {
    @Override
    public String toString() {
        return host + "#" + incarnation;
    }
}
