package org.banyanstair.placement;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.banyanstair.configuration.Configuration;
import org.banyanstair.membership.Membership;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.RequestId;
import org.banyanstair.ownership.OwnershipState;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.reducer.Sequence;

/** State shared by the parts of a {@link PoolOwner}. Not thread-safe. */
final class PoolState {
    private final PoolId id;
    private final long term;
    private final PoolContext context;
    private final Map<EndpointId, EngineState> engines = new LinkedHashMap<>();
    private final Map<RequestId, Permit> permits = new LinkedHashMap<>();
    private final WaitingQueue queue = new WaitingQueue();
    private final AdapterPopularity popularity = new AdapterPopularity();

    PoolState(PoolId id, long term, PoolContext context) {
        this.id = id;
        this.term = term;
        this.context = context;
    }

    PoolId id() {
        return id;
    }

    long term() {
        return term;
    }

    Membership membership() {
        return context.membership();
    }

    ReducerSettings settings() {
        return context.settings();
    }

    Sequence sequence() {
        return context.sequence();
    }

    OwnershipState ownership() {
        return context.ownership();
    }

    CrashSuspects suspects() {
        return context.suspects();
    }

    Configuration configuration() {
        return context.configuration().get();
    }

    Map<EndpointId, EngineState> engines() {
        return engines;
    }

    Optional<EngineState> engine(EndpointId endpoint) {
        return Optional.ofNullable(engines.get(endpoint));
    }

    WaitingQueue queue() {
        return queue;
    }

    AdapterPopularity popularity() {
        return popularity;
    }

    Map<RequestId, Permit> permits() {
        return permits;
    }

    void addPermit(Permit permit) {
        permits.put(permit.request(), permit);
        engine(permit.endpoint()).ifPresent(engine -> engine.permits().put(permit.request(), permit));
    }

    Optional<Permit> removePermit(RequestId request) {
        Permit permit = permits.remove(request);
        if (permit == null) {
            return Optional.empty();
        }
        engine(permit.endpoint()).ifPresent(engine -> {
            engine.permits().remove(request);
            engine.orphanedSince().remove(request);
        });
        return Optional.of(permit);
    }

    /** Records a released permit whose request may run until the engine notices the cancellation or connection loss. */
    void addUnconfirmedEnd(Permit permit, Instant now) {
        engine(permit.endpoint()).ifPresent(engine -> engine.addUnconfirmedEnd(permit, now));
    }

    /** Whether the request ran on an engine that may have crashed and whose status was not read since. */
    boolean isUnderVerification(Fingerprint fingerprint) {
        return engines.values().stream()
                .filter(EngineState::isVerifying)
                .anyMatch(engine -> engine.runningFingerprints().contains(fingerprint));
    }
}
