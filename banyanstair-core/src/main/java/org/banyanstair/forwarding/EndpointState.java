package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import org.banyanstair.endpoints.StaleEntryPause;
import org.banyanstair.locality.ResponseEstimate;
import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.EndpointUsage;
import org.banyanstair.versions.SoftwareVersion;

/** A host's view of one endpoint. Not thread-safe. */
final class EndpointState {
    /** Time for which an endpoint that refused a connection receives no requests, doubled with each further failure. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(250);

    /** Upper limit of the doubled pause; a crashed endpoint is back after a few seconds. */
    private static final Duration MAXIMUM_PAUSE = Duration.ofSeconds(2);

    /**
     * Number of unloaded adapters that a runner is assumed to keep in local memory; less than runners actually keep.
     */
    private static final int MAXIMUM_RECENTLY_UNLOADED = 36;

    /** Time after the last refused connection within which the entry of a new process is read. */
    private static final Duration VERSION_UNCERTAIN_TIME = Duration.ofSeconds(2);

    /** Time for which the version stays uncertain after another process was found, if no new entry is read. */
    private static final Duration REPLACED_TIME = Duration.ofSeconds(10);

    /** Time by which the expected end of a late load is postponed. */
    private static final Duration LATE_LOAD_EXTENSION = Duration.ofMillis(150);

    /** Weight of the newest sample in the moving averages of the failure rate and the run time. */
    private static final double OUTCOME_WEIGHT = 0.2;

    /** Weight of the newest sample in the moving average of the slowdown. */
    private static final double SLOWDOWN_WEIGHT = 0.15;

    private EndpointListing listing;
    private Instant removeAt = Instant.MAX;
    private Instant pausedUntil = Instant.MIN;
    private Instant versionUncertainUntil = Instant.MIN;
    private Duration pause = FIRST_PAUSE;
    private final RequestedPause requestedPause = new RequestedPause();
    private final StaleEntryPause staleEntry = new StaleEntryPause();
    private boolean announcedLeaving;
    private Instant restartNoticedAt = Instant.MIN;
    private final ResponseEstimate responses = new ResponseEstimate();
    private double failureRate;
    private Instant lastFailureAt = Instant.MIN;
    private double slowdown = 1;
    private double runMilliseconds = RunnerTimings.ADAPTER_USE.toMillis();
    private Set<String> baseModels = Set.of();
    private final Map<AdapterName, AdapterSlot> adapters = new HashMap<>();
    private final Map<HostId, EndpointUsage> use = new HashMap<>();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final Map<LoadedAdapter, Boolean> recentlyUnloaded = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<LoadedAdapter, Boolean> eldest) {
            return size() > MAXIMUM_RECENTLY_UNLOADED;
        }
    };
    private final Set<AdapterName> pendingLoads = new HashSet<>();
    private Optional<HostId> leaseHolder = Optional.empty();

    EndpointState(EndpointListing listing) {
        this.listing = listing;
        applyListedAdapters();
    }

    EndpointListing listing() {
        return listing;
    }

    EndpointId id() {
        return listing.id();
    }

    /** Applies a newer registry entry; returns whether the process has restarted. */
    boolean update(EndpointListing newer, Instant now) {
        boolean restarted = newer.started() != listing.started();
        boolean commandsChanged = newer.commandSequence() != listing.commandSequence();
        listing = newer;
        removeAt = Instant.MAX;
        if (restarted) {
            reset();
            restartNoticedAt = now;
        }
        if (restarted || commandsChanged && leaseHolder.isEmpty()) {
            applyListedAdapters();
        }
        return restarted;
    }

    private void reset() {
        versionUncertainUntil = Instant.MIN;
        baseModels = Set.of();
        adapters.clear();
        prefixes.clear();
        use.clear();
        responses.clear();
        failureRate = 0;
        slowdown = 1;
        pausedUntil = Instant.MIN;
        pause = FIRST_PAUSE;
        requestedPause.clear();
        staleEntry.endpointAnswered();
        announcedLeaving = false;
        leaseHolder = Optional.empty();
        pendingLoads.clear();
    }

    private void applyListedAdapters() {
        Map<AdapterName, AdapterSlot> listed = new HashMap<>();
        for (LoadedAdapter loaded : listing.adapters()) {
            listed.put(loaded.name(), new AdapterSlot(loaded.version(), Instant.MIN));
        }
        replaceAdapters(listed);
        baseModels = listing.baseModels();
    }

    Set<String> baseModels() {
        return baseModels;
    }

    void setBaseModels(Set<String> models) {
        baseModels = models;
    }

    /** Returns whether the runner holds the base model of a request, or the request names none. */
    boolean holdsBaseModelOf(ForwardRequest request) {
        return request.baseModel().isEmpty()
                || baseModels.contains(request.baseModel().get());
    }

    void setRemoveAt(Instant instant) {
        removeAt = instant;
    }

    Instant removeAt() {
        return removeAt;
    }

    Map<AdapterName, AdapterSlot> adapters() {
        return adapters;
    }

    /** Replaces the adapters and remembers the unloaded ones. */
    void replaceAdapters(Map<AdapterName, AdapterSlot> newer) {
        adapters.forEach((name, slot) -> {
            if (!newer.containsKey(name)) {
                addRecentlyUnloaded(name, slot.version());
            }
        });
        adapters.clear();
        adapters.putAll(newer);
    }

    /** Removes an unloaded adapter. */
    void removeAdapter(AdapterName name) {
        AdapterSlot slot = adapters.remove(name);
        if (slot != null) {
            addRecentlyUnloaded(name, slot.version());
        }
    }

    private void addRecentlyUnloaded(AdapterName name, long version) {
        LoadedAdapter unloaded = new LoadedAdapter(name, version);
        recentlyUnloaded.remove(unloaded);
        recentlyUnloaded.put(unloaded, Boolean.TRUE);
    }

    /** Returns whether the runner held an adapter version recently, so that it loads without the weight store. */
    boolean recentlyHeld(AdapterName name, long version) {
        return recentlyUnloaded.containsKey(new LoadedAdapter(name, version));
    }

    /** Returns the expected load time without other loads in transit. */
    Duration loadTime(AdapterName name, long version) {
        return recentlyHeld(name, version) ? RunnerTimings.ADAPTER_RELOAD : RunnerTimings.ADAPTER_LOAD;
    }

    PrefixIndex prefixes() {
        return prefixes;
    }

    void setLeaseHolder(HostId host) {
        leaseHolder = Optional.of(host);
    }

    /** Returns the host that last published the runner's state as its lease holder. */
    Optional<HostId> leaseHolder() {
        return leaseHolder;
    }

    boolean acceptsRequests(Instant now) {
        return condition(now) == EndpointCondition.IN_USE;
    }

    EndpointCondition condition(Instant now) {
        if (!now.isBefore(removeAt)) {
            return EndpointCondition.GONE;
        }
        if (listing.draining() || announcedLeaving) {
            return EndpointCondition.LEAVING;
        }
        boolean paused = now.isBefore(pausedUntil) || !requestedPause.allowsRequest(now) || staleEntry.isInForce(now);
        return paused ? EndpointCondition.PAUSED : EndpointCondition.IN_USE;
    }

    /** Returns whether a response to a request that was sent at an instant may be of an earlier process. */
    boolean mayPrecedeRestart(Instant sentAt) {
        return sentAt.isBefore(restartNoticedAt);
    }

    /** Marks the endpoint as leaving, whatever its registry entry says; returns whether that is new. */
    boolean announceLeaving() {
        boolean isNew = !announcedLeaving;
        announcedLeaving = true;
        return isNew;
    }

    /** Returns the pause that the endpoint has asked this host for. */
    RequestedPause requestedPause() {
        return requestedPause;
    }

    /**
     * Records that no process listened at the address: the next one there may be of another version, before its registry
     * entry is read.
     */
    void processGone(Instant now) {
        Instant end = now.plus(VERSION_UNCERTAIN_TIME);
        versionUncertainUntil = end.isAfter(versionUncertainUntil) ? end : versionUncertainUntil;
    }

    /** Records that a connection led to another process than that of the registry entry. */
    void processReplaced(Instant now) {
        versionUncertainUntil = now.plus(REPLACED_TIME);
    }

    /** Returns the version of the process that is reached now, as far as it is known. */
    SoftwareVersion softwareVersion(Instant now) {
        return now.isBefore(versionUncertainUntil) ? SoftwareVersion.UNCERTAIN : listing.softwareVersion();
    }

    void connectionFailed(Instant now) {
        processGone(now);
        pausedUntil = now.plus(pause);
        pause = pause.multipliedBy(2).compareTo(MAXIMUM_PAUSE) > 0 ? MAXIMUM_PAUSE : pause.multipliedBy(2);
    }

    /** Returns whether the endpoint is paused after a failure or rejection, and only for a short time from now on. */
    boolean isPausedBriefly(Instant now, Duration limit) {
        return condition(now) == EndpointCondition.PAUSED
                && now.isBefore(pausedUntil)
                && !pausedUntil.isAfter(now.plus(limit))
                && requestedPause.allowsRequest(now)
                && !staleEntry.isInForce(now);
    }

    /** Returns the pause while its entry names a process that another one has replaced. */
    StaleEntryPause staleEntry() {
        return staleEntry;
    }

    void pauseUntil(Instant instant) {
        pausedUntil = instant;
    }

    /** Records the end of an attempt that began with a number of requests at this endpoint, itself included. */
    void recordResponse(boolean success, int runningAtStart, Duration time, Instant now) {
        double rounds = Math.max(1, (double) runningAtStart / Math.max(1, listing.slots()));
        responses.record(success, time.toMillis() / rounds, now);
    }

    /** Returns the response time and failures by this host's own attempts. */
    ResponseEstimate responses() {
        return responses;
    }

    void recordOutcome(boolean success, Instant now) {
        failureRate += OUTCOME_WEIGHT * ((success ? 0 : 1) - failureRate);
        if (success) {
            requestedPause.recordSuccess(now);
            staleEntry.endpointAnswered();
            pause = FIRST_PAUSE;
        } else {
            lastFailureAt = now;
        }
    }

    /** Returns the moving average of the share of failures; it halves with each second without a failure. */
    double failureRate(Instant now) {
        if (failureRate == 0) {
            return 0;
        }
        double seconds = Duration.between(lastFailureAt, now).toMillis() / 1000.0;
        return failureRate * Math.pow(0.5, Math.max(0, seconds));
    }

    void recordSpeed(double measuredOverPredicted) {
        double bounded = Math.min(4, Math.max(0.5, measuredOverPredicted));
        slowdown += SLOWDOWN_WEIGHT * (bounded * slowdown - slowdown);
        slowdown = Math.min(4, Math.max(0.5, slowdown));
    }

    void recordRunTime(Duration time) {
        runMilliseconds += OUTCOME_WEIGHT * (time.toMillis() - runMilliseconds);
    }

    /** Returns the moving average of the milliseconds for which a request uses its adapter. */
    double runMilliseconds() {
        return runMilliseconds;
    }

    double slowdown() {
        return slowdown;
    }

    /**
     * Replaces the usage by a host; returns the adapter of each request that is new. A request is in all reports while
     * it runs, so counting each report would count long requests more often.
     */
    List<AdapterName> setUse(HostId host, EndpointUsage newer) {
        EndpointUsage older = newer.running() == 0 ? use.remove(host) : use.put(host, newer);
        newer.newPrefixes().forEach(prefixes::add);
        List<AdapterName> added = new ArrayList<>(newer.adapters());
        if (older != null) {
            older.adapters().forEach(added::remove);
        }
        return added;
    }

    void removeUse(HostId host) {
        use.remove(host);
    }

    /** Passes on what the requests of each host use. */
    void forEachUse(BiConsumer<HostId, EndpointUsage> consumer) {
        use.forEach(consumer);
    }

    int running() {
        int sum = 0;
        for (EndpointUsage hostUse : use.values()) {
            sum += hostUse.running();
        }
        return sum;
    }

    /** Returns how many requests of one host run here. */
    int runningOf(HostId host) {
        EndpointUsage hostUse = use.get(host);
        return hostUse == null ? 0 : hostUse.running();
    }

    int waitingTokens() {
        int sum = 0;
        for (EndpointUsage hostUse : use.values()) {
            sum += hostUse.waitingTokens();
        }
        return sum;
    }

    long cacheTokens() {
        long sum = 0;
        for (EndpointUsage hostUse : use.values()) {
            sum += hostUse.cacheTokens();
        }
        return sum;
    }

    /** Returns how many adapters could be loaded now, into free slots or by eviction of unused adapters. */
    int availableSlots(int slots, Instant now) {
        int available = slots - adapters.size();
        for (Map.Entry<AdapterName, AdapterSlot> entry : adapters.entrySet()) {
            available += entry.getValue().isPastFirstUse(now) && !isUsed(entry.getKey()) ? 1 : 0;
        }
        return available - pendingLoads.size();
    }

    void setPendingLoads(Collection<AdapterName> loads) {
        pendingLoads.clear();
        pendingLoads.addAll(loads);
    }

    /** Returns whether the lease holder of the runner has a pending load of an adapter. */
    boolean isLoadPending(AdapterName adapter) {
        return pendingLoads.contains(adapter);
    }

    /**
     * Postpones the expected end of a load after a request found the adapter missing; returns whether the adapter was
     * known here.
     */
    boolean markLoadLate(AdapterName adapter, Instant now) {
        AdapterSlot slot = adapters.get(adapter);
        if (slot == null) {
            return false;
        }
        adapters.put(adapter, new AdapterSlot(slot.version(), now.plus(LATE_LOAD_EXTENSION)));
        return true;
    }

    /** Returns whether the load of an adapter was expected to end within a time before now. */
    boolean becameReadyWithin(AdapterName adapter, Duration limit, Instant now) {
        AdapterSlot slot = adapters.get(adapter);
        return slot != null
                && !slot.readyAt().equals(Instant.MIN)
                && slot.isReady(now)
                && now.isBefore(slot.readyAt().plus(limit));
    }

    boolean isUsed(AdapterName adapter) {
        for (EndpointUsage hostUse : use.values()) {
            if (hostUse.adapters().contains(adapter)) {
                return true;
            }
        }
        return false;
    }
}
