package org.banyanstair.placement;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.RequestId;

/** What a pool owner believes about one engine. Not safe for use by several threads. */
final class EngineState {
    /** Failed status reads in a row after which an engine gets no new permits. */
    private static final int FAILURES_BEFORE_UNREACHABLE = 2;

    private Endpoint endpoint;
    private boolean listed = true;
    private OptionalLong incarnation = OptionalLong.empty();
    private int failures;
    private boolean fenceRaised;
    private boolean verifying;
    private Instant nextStatusAt = Instant.MIN;
    private final Map<AdapterVersion, Slot> slots = new LinkedHashMap<>();
    private final Map<AdapterVersion, Instant> unloadedAt = new HashMap<>();
    private final Map<RequestId, Permit> permits = new LinkedHashMap<>();
    private final Map<RequestId, Instant> orphans = new HashMap<>();
    private final List<Permit> broken = new ArrayList<>();
    private final Map<AdapterVersion, Instant> usedAt = new HashMap<>();
    private final PrefixMemory prefixes = new PrefixMemory();
    private Optional<Fingerprint> reservedFor = Optional.empty();

    EngineState(Endpoint endpoint) {
        this.endpoint = endpoint;
        this.fenceRaised = !endpoint.checksFencing();
    }

    Endpoint endpoint() {
        return endpoint;
    }

    void list(Endpoint entry) {
        endpoint = entry;
        listed = true;
    }

    void unlist() {
        listed = false;
    }

    boolean isListed() {
        return listed;
    }

    OptionalLong incarnation() {
        return incarnation;
    }

    /** Forgets everything that a restart of the engine has ended. */
    void restarted(long newIncarnation) {
        incarnation = OptionalLong.of(newIncarnation);
        slots.clear();
        unloadedAt.clear();
        usedAt.clear();
        permits.clear();
        orphans.clear();
        broken.clear();
        prefixes.clear();
        verifying = false;
        fenceRaised = !endpoint.checksFencing();
    }

    boolean takesPermits() {
        return listed
                && endpoint.presence() == Presence.LIVE
                && incarnation.isPresent()
                && isReachable()
                && fenceRaised
                && !verifying;
    }

    boolean takesLoads() {
        return takesPermits();
    }

    boolean isReachable() {
        return failures < FAILURES_BEFORE_UNREACHABLE;
    }

    void statusSucceeded() {
        failures = 0;
    }

    void statusFailed() {
        failures++;
    }

    boolean fenceRaised() {
        return fenceRaised;
    }

    void markFenceRaised() {
        fenceRaised = true;
    }

    boolean verifying() {
        return verifying;
    }

    void verifying(boolean value) {
        verifying = value;
    }

    Instant nextStatusAt() {
        return nextStatusAt;
    }

    void nextStatusAt(Instant at) {
        nextStatusAt = at;
    }

    Map<AdapterVersion, Slot> slots() {
        return slots;
    }

    boolean hasFreeSlot() {
        return slots.size() < endpoint.slots();
    }

    boolean isLoaded(AdapterVersion adapter) {
        Slot slot = slots.get(adapter);
        return slot != null && slot.state() == SlotState.LOADED;
    }

    void used(AdapterVersion adapter, Instant now) {
        usedAt.put(adapter, now);
    }

    Instant usedAt(AdapterVersion adapter) {
        return usedAt.getOrDefault(adapter, Instant.MIN);
    }

    void removeSlot(AdapterVersion adapter, Instant now) {
        slots.remove(adapter);
        usedAt.remove(adapter);
        unloadedAt.put(adapter, now);
    }

    Optional<Instant> unloadedAt(AdapterVersion adapter) {
        return Optional.ofNullable(unloadedAt.get(adapter));
    }

    Map<RequestId, Permit> permits() {
        return permits;
    }

    Map<RequestId, Instant> orphans() {
        return orphans;
    }

    List<Permit> broken() {
        return broken;
    }

    PrefixMemory prefixes() {
        return prefixes;
    }

    boolean hasRoom() {
        return permits.size() < endpoint.batchLimit();
    }

    double fullness() {
        return permits.size() / (double) Math.max(1, endpoint.batchLimit());
    }

    long permitsOn(AdapterVersion adapter) {
        return permits.values().stream()
                .filter(permit -> permit.adapter().equals(adapter))
                .count();
    }

    /** The requests that may have been running when the engine crashed. */
    Set<Fingerprint> runningFingerprints() {
        return Stream.concat(permits.values().stream(), broken.stream())
                .map(Permit::fingerprint)
                .collect(Collectors.toCollection(java.util.TreeSet::new));
    }

    Optional<Fingerprint> reservedFor() {
        return reservedFor;
    }

    void reserveFor(Optional<Fingerprint> fingerprint) {
        reservedFor = fingerprint;
    }
}
