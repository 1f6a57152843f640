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
 * What one host knows about the other entry hosts: the host list, and who can be reached.
 *
 * <p>Reachability only steers choices, such as who should own a pool. That a host is gone for good is believed only
 * from the host list or from a newer incarnation. Not safe for use by several threads.
 */
public final class Membership {
    private final HostIdentity self;
    private HostListing listing = HostListing.EMPTY;
    private long listingChangeCount;
    private boolean listingRead;
    private boolean draining;
    private final Map<HostId, Instant> unreachableSince = new HashMap<>();
    private final Map<HostId, Long> latestIncarnations = new HashMap<>();
    private final Set<HostIdentity> leavingHosts = new HashSet<>();

    /** Creates the state of a host that has read no list yet. */
    public Membership(HostIdentity self) {
        this.self = self;
        latestIncarnations.put(self.host(), self.incarnation());
    }

    /** Returns this host. */
    public HostIdentity self() {
        return self;
    }

    /** Takes a new reading of the host list. */
    public void updateListing(HostListing newListing) {
        if (!newListing.equals(listing)) {
            listing = newListing;
            listingChangeCount++;
        }
        listingRead = true;
    }

    /**
     * Returns how often a reading differed from the one before. Decisions that depend on the list alone hold until this
     * number changes.
     *
     * @return the number, 0 before the first reading
     */
    public long listingChangeCount() {
        return listingChangeCount;
    }

    /**
     * Returns the last reading of the host list.
     *
     * @return the list, empty before the first reading
     */
    public HostListing listing() {
        return listing;
    }

    /**
     * Tells whether the host list was read.
     *
     * @return false before the first reading
     */
    public boolean hasListing() {
        return listingRead;
    }

    /** Notes that a peer can be reached. */
    public void markReachable(HostIdentity peer) {
        unreachableSince.remove(peer.host());
        latestIncarnations.merge(peer.host(), peer.incarnation(), Math::max);
    }

    /**
     * Notes that a peer cannot be reached.
     *
     * @param at when that was found
     */
    public void markUnreachable(HostId peer, Instant at) {
        unreachableSince.putIfAbsent(peer, at);
    }

    /** Notes that a peer leaves. */
    public void markLeaving(HostIdentity peer) {
        leavingHosts.add(peer);
    }

    /** Notes that this host leaves. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Tells whether this host leaves.
     *
     * @return true once {@link #startDraining} was called
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Tells whether a peer is known as unreachable.
     *
     * @return true from a failed connection to the next success
     */
    public boolean isUnreachable(HostId peer) {
        return unreachableSince.containsKey(peer);
    }

    /**
     * Tells whether a run of a daemon has certainly ended.
     *
     * @return true if the host list does not show its host, or a newer incarnation was seen
     */
    public boolean isTerminated(HostIdentity identity) {
        if (!listingRead) {
            return false;
        }
        return isSuperseded(identity) || listing.host(identity.host()).isEmpty();
    }

    /**
     * Tells whether a newer run of a host's daemon was seen.
     *
     * @return true if a higher incarnation of the host is known
     */
    public boolean isSuperseded(HostIdentity identity) {
        return latestIncarnations.getOrDefault(identity.host(), Long.MIN_VALUE) > identity.incarnation();
    }

    /**
     * Returns the newest run of a host's daemon that was seen.
     *
     * @return its identity, empty if no connection to the host was ever open
     */
    public Optional<HostIdentity> latestIncarnation(HostId host) {
        return Optional.ofNullable(latestIncarnations.get(host))
                .map(incarnation -> new HostIdentity(host, incarnation));
    }

    /**
     * Lists the hosts that should take work: live in the host list, reachable, and not leaving.
     *
     * @return their ids, with this one unless it is draining
     */
    public List<HostId> availableHosts() {
        return listing.liveHosts().stream().filter(this::isAvailable).toList();
    }

    /**
     * Tells whether a host should take work.
     *
     * @return whether it is live in the host list, reachable, and not leaving
     */
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

    /** Lists the other hosts that the host list shows, live or leaving. */
    public List<HostId> otherHosts() {
        return listing.hosts().stream()
                .map(EntryHost::id)
                .filter(host -> !host.equals(self.host()))
                .toList();
    }
}
