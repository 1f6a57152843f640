package org.banyanstair.testsupport.hosts;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.HostListing;

/**
 * Host list whose changes become visible to readers after a lag.
 *
 * <p>Thread-safe. The visible version never decreases, even if the lag is increased.
 */
final class DelayedHostList {
    private final Map<String, EntryHost> hosts = new TreeMap<>();
    private final Map<String, Endpoint> endpoints = new TreeMap<>();
    private final Deque<Change> pendingChanges = new ArrayDeque<>();
    private HostListing visible = HostListing.EMPTY;
    private long version;

    synchronized void putHost(EntryHost host, Instant now) {
        hosts.put(host.id().toString(), host);
        recordChange(now);
    }

    synchronized void putEndpoint(Endpoint endpoint, Instant now) {
        endpoints.put(endpoint.id().toString(), endpoint);
        recordChange(now);
    }

    synchronized boolean removeHost(String id, Instant now) {
        return recordRemoval(hosts.remove(id), now);
    }

    synchronized boolean removeEndpoint(String id, Instant now) {
        return recordRemoval(endpoints.remove(id), now);
    }

    private boolean recordRemoval(Object entry, Instant now) {
        if (entry == null) {
            return false;
        }
        recordChange(now);
        return true;
    }

    private void recordChange(Instant now) {
        version++;
        pendingChanges.addLast(new Change(
                now, new HostListing(version, List.copyOf(hosts.values()), List.copyOf(endpoints.values()))));
    }

    /** Returns the newest listing that is at least as old as the lag. */
    synchronized HostListing visible(Instant now, Duration lag) {
        while (!pendingChanges.isEmpty()
                && !pendingChanges.peekFirst().at().plus(lag).isAfter(now)) {
            visible = pendingChanges.removeFirst().listing();
        }
        return visible;
    }

    private record Change(Instant at, HostListing listing) {}
}
