package org.banyanstair.ownership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.model.PoolId;

/**
 * Pool owners and pending unloads, as read from the {@code ownership} log stream. The owner of a pool is the host
 * whose claim has the highest term; an announced unload is pending until its end is recorded. Not thread-safe.
 */
public final class OwnershipState {
    private final Map<PoolId, Ownership> owners = new HashMap<>();
    private final Map<PoolId, Set<PendingUnload>> pendingUnloads = new HashMap<>();
    private long nextOffset;

    /**
     * Applies a record; records already applied are ignored.
     *
     * @return whether an owner changed
     */
    public boolean apply(long offset, OwnershipRecord record) {
        if (offset < nextOffset) {
            return false;
        }
        nextOffset = offset + 1;
        if (record instanceof OwnershipRecord.Claim claim) {
            return setOwner(claim.pool(), new Ownership(claim.owner(), offset));
        }
        if (record instanceof OwnershipRecord.Renewal renewal) {
            return setOwner(renewal.pool(), new Ownership(renewal.owner(), renewal.term()));
        }
        if (record instanceof OwnershipRecord.UnloadAnnouncement announcement) {
            addPendingUnload(announcement);
        } else if (record instanceof OwnershipRecord.UnloadEnd end) {
            removePendingUnload(end);
        }
        return false;
    }

    private boolean setOwner(PoolId pool, Ownership ownership) {
        Ownership current = owners.get(pool);
        if (current != null && current.term() >= ownership.term()) {
            return false;
        }
        owners.put(pool, ownership);
        return true;
    }

    private void addPendingUnload(OwnershipRecord.UnloadAnnouncement announcement) {
        owner(announcement.pool())
                .filter(ownership -> ownership.term() == announcement.term())
                .ifPresent(ownership -> pendingUnloads
                        .computeIfAbsent(announcement.pool(), pool -> new LinkedHashSet<>())
                        .add(new PendingUnload(
                                ownership.owner(),
                                announcement.endpoint(),
                                announcement.incarnation(),
                                announcement.adapter())));
    }

    private void removePendingUnload(OwnershipRecord.UnloadEnd end) {
        pendingUnloads
                .getOrDefault(end.pool(), Collections.emptySet())
                .removeIf(unload -> unload.endpoint().equals(end.endpoint())
                        && unload.incarnation() == end.incarnation()
                        && unload.adapter().equals(end.adapter()));
    }

    /**
     * Applies an owner received from a peer, for a host that cannot read the stream.
     *
     * @return whether the owner changed
     */
    public boolean updateFromPeer(PoolId pool, Ownership ownership) {
        return setOwner(pool, ownership);
    }

    /** Returns the owner of a pool, or empty if there is no claim. */
    public Optional<Ownership> owner(PoolId pool) {
        return Optional.ofNullable(owners.get(pool));
    }

    /** Returns an unmodifiable view of all owners. */
    public Map<PoolId, Ownership> owners() {
        return Collections.unmodifiableMap(owners);
    }

    /** Returns a copy of the announced unloads of a pool whose end was not recorded. */
    public List<PendingUnload> pendingUnloads(PoolId pool) {
        return new ArrayList<>(pendingUnloads.getOrDefault(pool, Collections.emptySet()));
    }

    /** Returns the log offset of the next record to apply. */
    public long nextOffset() {
        return nextOffset;
    }
}
