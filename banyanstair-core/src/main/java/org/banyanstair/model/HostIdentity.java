package org.banyanstair.model;

/**
 * One run of the daemon on an entry host.
 *
 * <p>A host whose daemon restarts keeps its id and gets a higher incarnation.
 *
 * @param incarnation number that grows with each start of the daemon on this host
 */
public record HostIdentity(HostId host, long incarnation) {
    @Override
    public String toString() {
        return host + "#" + incarnation;
    }
}
