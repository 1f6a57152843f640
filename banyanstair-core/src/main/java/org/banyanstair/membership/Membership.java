package org.banyanstair.membership;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;

/**
 * State of the entry hosts as known to one host: the host list, and which peers are reachable.
 *
 * <p>Reachability is only a hint, for example for the choice of a pool owner. A daemon counts as terminated only if the
 * host list no longer shows its host or a newer incarnation was seen. Not thread-safe.
 */
public final class Membership {
    private final HostIdentity self;
    private HostListing listing = HostListing.EMPTY;
    private long listingChangeCount;
    private boolean listingRead;
    private boolean listed;
    private boolean draining;
    private final Map<HostId, Instant> unreachableSince = new HashMap<>();
    private final Map<HostId, Long> latestIncarnations = new HashMap<>();
    private final Set<HostIdentity> leavingHosts = new HashSet<>();

    /** Creates the state of a host that has not read the host list yet. */
    public Membership(HostIdentity self) {
        this.self = self;
        latestIncarnations.put(self.host(), self.incarnation());
    }

    /** Returns the identity of this host. */
    public HostIdentity self() {
        return self;
    }

    /** Replaces the snapshot of the host list. */
    public void updateListing(HostListing newListing) {
        if (!newListing.equals(listing)) {
            listing = newListing;
            listingChangeCount++;
        }
        listingRead = true;
        listed = listed || newListing.host(self.host()).isPresent();
    }

    /**
     * Returns the number of changes of the host list, 0 before the first snapshot. Results that depend only on the host
     * list stay valid until this number changes.
     */
    public long listingChangeCount() {
        return listingChangeCount;
    }

    /** Returns the latest snapshot of the host list, {@link HostListing#EMPTY} before the first one. */
    public HostListing listing() {
        return listing;
    }

    /** Whether the host list was read at least once. */
    public boolean hasListing() {
        return listingRead;
    }

    /** Whether a snapshot of the host list has shown this host; stays true when a later one does not. */
    public boolean wasListed() {
        return listed;
    }

    /** Records that a peer is reachable. */
    public void markReachable(HostIdentity peer) {
        unreachableSince.remove(peer.host());
        latestIncarnations.merge(peer.host(), peer.incarnation(), Math::max);
    }

    /**
     * Records that a peer is unreachable.
     *
     * @param at when this was detected
     */
    public void markUnreachable(HostId peer, Instant at) {
        unreachableSince.putIfAbsent(peer, at);
    }

    /** Records that a peer is leaving. */
    public void markLeaving(HostIdentity peer) {
        leavingHosts.add(peer);
    }

    /** Records that this host is draining. */
    public void startDraining() {
        draining = true;
    }

    /** Whether this host is draining. */
    public boolean isDraining() {
        return draining;
    }

    /** Whether a connection to the peer failed and none has succeeded since. */
    public boolean isUnreachable(HostId peer) {
        return unreachableSince.containsKey(peer);
    }

    /** Whether this incarnation has certainly ended: its host is not listed, or a newer incarnation was seen. */
    public boolean isTerminated(HostIdentity identity) {
        if (!listingRead) {
            return false;
        }
        return isSuperseded(identity) || listing.host(identity.host()).isEmpty();
    }

    /** Whether a newer incarnation of the host was seen. */
    public boolean isSuperseded(HostIdentity identity) {
        return latestIncarnations.getOrDefault(identity.host(), Long.MIN_VALUE) > identity.incarnation();
    }

    /** Returns the newest incarnation of a host that was seen, or empty if the host was never connected. */
    public Optional<HostIdentity> latestIncarnation(HostId host) {
        return Optional.ofNullable(latestIncarnations.get(host))
                .map(incarnation -> new HostIdentity(host, incarnation));
    }

    /** Returns the hosts that may be assigned work, including this one unless it is draining. */
    public List<HostId> availableHosts() {
        return listing.liveHosts().stream().filter(this::isAvailable).toList();
    }

    /** Whether a host may be assigned work: it is live in the host list, reachable, and not leaving. */
    public boolean isAvailable(HostId host) {
        if (host.equals(self.host())) {
            return !draining;
        }
        boolean live = listing.host(host)
                .filter(entry -> entry.presence() == Presence.LIVE)
                .isPresent();
        return live && !isUnreachable(host) && !isLeaving(host);
    }

    private boolean isLeaving(HostId host) {
        return Optional.ofNullable(latestIncarnations.get(host))
                .filter(incarnation -> leavingHosts.contains(new HostIdentity(host, incarnation)))
                .isPresent();
    }

    /** Returns all live and leaving hosts in the host list except this one. */
    public List<HostId> otherHosts() {
        return listing.hosts().stream()
                .map(EntryHost::id)
                .filter(host -> !host.equals(self.host()))
                .toList();
    }
}
