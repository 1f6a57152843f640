package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.RequestId;
import org.banyanstair.peer.HeldPermit;
import org.banyanstair.peer.PeerMessage;
import org.banyanstair.reducer.Effects;

/** Reconciles the permits of a pool with the inventories of their holders: after takeovers, restarts and regularly. */
final class PermitReconciler {
    private static final Duration RECONCILIATION_INTERVAL = Duration.ofSeconds(10);

    /** A few round trips to a peer; short, because nothing inherited is unloaded until the takeover is complete. */
    private static final Duration TAKEOVER_REQUEST_INTERVAL = Duration.ofMillis(250);

    private final PoolState pool;
    private final TakeoverProgress takeover;
    private Instant nextTakeoverRequestAt = Instant.MIN;
    private Instant nextInterruptedCheckAt = Instant.MIN;
    private Instant nextReconciliationAt;

    PermitReconciler(PoolState pool, TakeoverProgress takeover, Instant now) {
        this.pool = pool;
        this.takeover = takeover;
        this.nextReconciliationAt = now.plus(RECONCILIATION_INTERVAL);
    }

    /** Applies the inventory of a host: removes permits that it no longer holds and adds unknown ones. */
    void inventoryReceived(HostIdentity sender, PeerMessage.InventoryReply reply, Instant now) {
        if (reply.term() != pool.term()) {
            return;
        }
        List<RequestId> heldRequests =
                reply.permits().stream().map(HeldPermit::request).toList();
        pool.permits().values().stream()
                .filter(permit -> permit.holder().equals(sender))
                .filter(permit -> permit.sequence() < reply.sequence() && !heldRequests.contains(permit.request()))
                .toList()
                .forEach(permit -> {
                    pool.removePermit(permit.request());
                    pool.addUnconfirmedEnd(permit, now);
                });
        reply.permits().stream()
                .filter(this::isMissingOrStale)
                .forEach(permit -> replacePermit(new Permit(
                        permit.request(),
                        permit.attempt(),
                        sender,
                        permit.endpoint(),
                        permit.adapter(),
                        Optional.empty(),
                        permit.fingerprint(),
                        permit.parts(),
                        reply.sequence(),
                        now,
                        0)));
        takeover.markReplied(sender.host());
    }

    /** Requests the inventories that are due. */
    void tick(Instant now, Effects effects) {
        checkInterruptedPermits(now, effects);
        if (!takeover.isComplete() && !now.isBefore(nextTakeoverRequestAt)) {
            nextTakeoverRequestAt = now.plus(TAKEOVER_REQUEST_INTERVAL);
            takeover.hostsWithoutReply(pool.membership()).forEach(host -> requestInventory(host, effects));
        }
        if (!now.isBefore(nextReconciliationAt)) {
            nextReconciliationAt = now.plus(RECONCILIATION_INTERVAL);
            checkOldPermits(now, effects);
        }
    }

    /** A host that runs the attempt on another endpoint, by a grant of an earlier term, ignores the current grant. */
    private boolean isMissingOrStale(HeldPermit held) {
        Permit known = pool.permits().get(held.request());
        return known == null
                || known.attempt() <= held.attempt() && !known.endpoint().equals(held.endpoint());
    }

    private void replacePermit(Permit permit) {
        pool.removePermit(permit.request());
        pool.addPermit(permit);
    }

    /** A paused holder, or one whose grant is delayed, may still use a permit granted before an engine restart. */
    private void checkInterruptedPermits(Instant now, Effects effects) {
        if (now.isBefore(nextInterruptedCheckAt)) {
            return;
        }
        nextInterruptedCheckAt = now.plus(pool.settings().retryInterval());
        pool.engines().values().stream()
                .flatMap(engine -> engine.permits().values().stream().filter(engine::predatesRestart))
                .map(permit -> permit.holder().host())
                .distinct()
                .forEach(host -> requestInventory(host, effects));
    }

    private void requestInventory(HostId host, Effects effects) {
        effects.send(
                host,
                new PeerMessage.InventoryRequest(
                        pool.id(), pool.term(), pool.sequence().next()));
    }

    /** Requests the inventories of holders of old permits, because release messages may be lost. */
    private void checkOldPermits(Instant now, Effects effects) {
        pool.permits().values().stream()
                .filter(permit -> !now.isBefore(permit.grantedAt().plus(RECONCILIATION_INTERVAL)))
                .map(permit -> permit.holder().host())
                .distinct()
                .forEach(host -> requestInventory(host, effects));
    }
}
