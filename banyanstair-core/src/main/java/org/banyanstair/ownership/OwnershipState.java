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
 * Folds the stream {@code ownership}: the highest claim owns a pool, and announced unloads stay pending until their
 * end.
 *
 * <p>Not safe for use by several threads.
 */
public final class OwnershipState {
    private final Map<PoolId, Ownership> owners = new HashMap<>();
    private final Map<PoolId, Set<PendingUnload>> pendingUnloads = new HashMap<>();
    private long nextOffset;

    /**
     * Applies one record.
     *
     * @return true if an owner changed
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
     * Learns an owner from a peer, for a host that cannot read the stream.
     *
     * @return true if the owner was not known or has a higher term than the known one
     */
    public boolean updateFromPeer(PoolId pool, Ownership ownership) {
        return setOwner(pool, ownership);
    }

    /**
     * Finds the owner of a pool.
     *
     * @return owner and term, empty if there is no claim
     */
    public Optional<Ownership> owner(PoolId pool) {
        return Optional.ofNullable(owners.get(pool));
    }

    /**
     * Returns all owners.
     *
     * @return unmodifiable view
     */
    public Map<PoolId, Ownership> owners() {
        return Collections.unmodifiableMap(owners);
    }

    /**
     * Lists the unloads of a pool that were announced and whose end was not seen.
     *
     * @return copy of the list
     */
    public List<PendingUnload> pendingUnloads(PoolId pool) {
        return new ArrayList<>(pendingUnloads.getOrDefault(pool, Collections.emptySet()));
    }

    /** Returns the offset of the next record to apply. */
    public long nextOffset() {
        return nextOffset;
    }
}
