package org.banyanstair.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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

/** State of one engine as known to the pool owner. Not thread-safe. */
final class EngineState {
    /** Consecutive failed status reads after which an engine gets no new permits. */
    private static final int FAILURES_BEFORE_UNREACHABLE = 2;

    private Endpoint endpoint;
    private boolean listed = true;
    private OptionalLong incarnation = OptionalLong.empty();
    private int consecutiveStatusFailures;
    private boolean fenceRaised;
    private Optional<Instant> verifyingSince = Optional.empty();
    private Instant nextStatusAt = Instant.MIN;
    private final Map<AdapterVersion, Slot> slots = new LinkedHashMap<>();
    private final Map<AdapterVersion, Instant> unloadedAt = new HashMap<>();
    private final Map<RequestId, Permit> permits = new LinkedHashMap<>();
    private final Map<RequestId, Instant> orphanedSince = new HashMap<>();
    private final List<Permit> brokenPermits = new ArrayList<>();
    private final Set<RequestId> requestsWithOutput = new HashSet<>();
    private final Map<AdapterVersion, Instant> lastUsedAt = new HashMap<>();
    private final Map<AdapterVersion, Instant> unconfirmedEnds = new HashMap<>();
    private final Map<Permit, Instant> unconfirmedPermits = new LinkedHashMap<>();
    private Instant incarnationSeenAt = Instant.MIN;
    private final RecentPrefixes recentPrefixes = new RecentPrefixes();
    private Optional<Fingerprint> reservation = Optional.empty();

    EngineState(Endpoint endpoint) {
        this.endpoint = endpoint;
        this.fenceRaised = !endpoint.checksFencing();
    }

    Endpoint endpoint() {
        return endpoint;
    }

    void updateEntry(Endpoint newEntry) {
        endpoint = newEntry;
        listed = true;
    }

    void markUnlisted() {
        listed = false;
    }

    boolean isListed() {
        return listed;
    }

    OptionalLong incarnation() {
        return incarnation;
    }

    /** Discards the state that does not survive a restart of the engine. */
    void reset(long newIncarnation, Instant now) {
        incarnation = OptionalLong.of(newIncarnation);
        slots.clear();
        unloadedAt.clear();
        lastUsedAt.clear();
        orphanedSince.clear();
        brokenPermits.clear();
        requestsWithOutput.clear();
        unconfirmedEnds.clear();
        unconfirmedPermits.clear();
        incarnationSeenAt = now;
        recentPrefixes.clear();
        verifyingSince = Optional.empty();
        fenceRaised = !endpoint.checksFencing();
    }

    boolean acceptsPermits() {
        return listed
                && endpoint.presence() == Presence.LIVE
                && incarnation.isPresent()
                && isReachable()
                && fenceRaised
                && !isVerifying();
    }

    boolean isReachable() {
        return consecutiveStatusFailures < FAILURES_BEFORE_UNREACHABLE;
    }

    void recordStatusSuccess() {
        consecutiveStatusFailures = 0;
    }

    void recordStatusFailure() {
        consecutiveStatusFailures++;
    }

    boolean isFenceRaised() {
        return fenceRaised;
    }

    void markFenceRaised() {
        fenceRaised = true;
    }

    boolean isVerifying() {
        return verifyingSince.isPresent();
    }

    /** Whether a status requested at this instant shows if the engine survived the last broken attempt. */
    boolean isVerifiedBy(Instant askedAt) {
        return verifyingSince.filter(since -> !askedAt.isBefore(since)).isPresent();
    }

    void beginVerification(Instant now) {
        verifyingSince = Optional.of(now);
    }

    void endVerification() {
        verifyingSince = Optional.empty();
    }

    Instant nextStatusAt() {
        return nextStatusAt;
    }

    void setNextStatusAt(Instant at) {
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

    void recordUse(AdapterVersion adapter, Instant now) {
        lastUsedAt.put(adapter, now);
    }

    Instant lastUsedAt(AdapterVersion adapter) {
        return lastUsedAt.getOrDefault(adapter, Instant.MIN);
    }

    void removeSlot(AdapterVersion adapter, Instant now) {
        slots.remove(adapter);
        lastUsedAt.remove(adapter);
        unloadedAt.put(adapter, now);
    }

    Optional<Instant> unloadedAt(AdapterVersion adapter) {
        return Optional.ofNullable(unloadedAt.get(adapter));
    }

    Map<RequestId, Permit> permits() {
        return permits;
    }

    Map<RequestId, Instant> orphanedSince() {
        return orphanedSince;
    }

    List<Permit> brokenPermits() {
        return brokenPermits;
    }

    /** Whether the permit was granted before the last restart. Its holder may still start an attempt with it. */
    boolean predatesRestart(Permit permit) {
        return permit.grantedAt().isBefore(incarnationSeenAt);
    }

    /** Records that an attempt ended for its holder although the engine may still run it. */
    void addUnconfirmedEnd(AdapterVersion adapter, Instant now) {
        unconfirmedEnds.put(adapter, now);
    }

    /** Records that a permit was released although the engine may still run the request. */
    void addUnconfirmedEnd(Permit permit, Instant now) {
        addUnconfirmedEnd(permit.adapter(), now);
        if (!predatesRestart(permit)) {
            unconfirmedPermits.put(permit, now);
        }
    }

    /**
     * Clears the unconfirmed ends that a status confirms.
     *
     * @param lag maximum age of the state in a status at the time it was requested
     */
    void clearConfirmedEnds(Map<AdapterVersion, Integer> running, Instant askedAt, Duration lag) {
        unconfirmedEnds
                .entrySet()
                .removeIf(end -> !askedAt.isBefore(end.getValue().plus(lag))
                        && running.getOrDefault(end.getKey(), 0) <= permitCount(end.getKey()));
        unconfirmedPermits.keySet().removeIf(permit -> !unconfirmedEnds.containsKey(permit.adapter()));
    }

    /** Whether a permit for the adapter is in use or a request may still run with it. */
    boolean isInUse(AdapterVersion adapter) {
        return permitCount(adapter) > 0 || unconfirmedEnds.containsKey(adapter);
    }

    RecentPrefixes recentPrefixes() {
        return recentPrefixes;
    }

    boolean hasBatchCapacity() {
        return permits.size() < endpoint.batchLimit();
    }

    double batchUtilization() {
        return permits.size() / (double) Math.max(1, endpoint.batchLimit());
    }

    long permitCount(AdapterVersion adapter) {
        return permits.values().stream()
                .filter(permit -> permit.adapter().equals(adapter))
                .count();
    }

    /** Permits in use, and released permits whose requests the engine may still run. */
    Stream<Permit> possiblyRunningPermits() {
        return Stream.concat(permits.values().stream(), unconfirmedPermits.keySet().stream());
    }

    /** Fingerprints of the requests that may have been running when the engine crashed. */
    Set<Fingerprint> runningFingerprints() {
        return Stream.concat(possiblyRunningPermits(), brokenPermits.stream())
                .map(Permit::fingerprint)
                .collect(Collectors.toCollection(java.util.TreeSet::new));
    }

    /** Requests that broke after output, which have not crashed the engine. */
    Set<RequestId> requestsWithOutput() {
        return requestsWithOutput;
    }

    /** Shared prompt parts of the requests that may have been running without output when the engine crashed. */
    List<List<Long>> promptsWithoutOutput() {
        return Stream.concat(possiblyRunningPermits(), brokenPermits.stream())
                .filter(permit -> !permit.parts().isEmpty() && !requestsWithOutput.contains(permit.request()))
                .map(Permit::parts)
                .distinct()
                .toList();
    }

    Optional<Fingerprint> reservation() {
        return reservation;
    }

    void setReservation(Optional<Fingerprint> fingerprint) {
        reservation = fingerprint;
    }
}
