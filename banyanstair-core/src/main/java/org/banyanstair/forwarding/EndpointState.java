package org.banyanstair.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.banyanstair.model.AdapterName;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.peer.EndpointUsage;

/** What a host believes of one endpoint. Not safe for use by several threads. */
final class EndpointState {
    /** Time for which an endpoint that refused a connection gets no requests, doubled with each further failure. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(250);

    /** Longest such time; an endpoint that crashed is back after some seconds. */
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

    /** Adapters that a runner is taken to have at hand after it gave up their places; a part of what runners keep. */
    private static final int FORMER_ADAPTERS = 36;

    /** Time after which a load that took longer than expected is counted on again. */
    private static final Duration LATE_LOAD = Duration.ofMillis(150);

    /** Weight of the newest outcome in the share of failures. */
    private static final double OUTCOME_WEIGHT = 0.2;

    /** Weight of the newest measurement of the speed. */
    private static final double SPEED_WEIGHT = 0.15;

    private EndpointListing listing;
    private Instant removeAt = Instant.MAX;
    private Instant avoidUntil = Instant.MIN;
    private Duration pause = FIRST_PAUSE;
    private double failureShare;
    private Instant lastFailureAt = Instant.MIN;
    private double slowness = 1;
    private double runMilliseconds = ServiceTimes.RUN.toMillis();
    private Set<String> baseModels = Set.of();
    private final Map<AdapterName, AdapterPlace> adapters = new HashMap<>();
    private final Map<HostId, EndpointUsage> use = new HashMap<>();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final Map<LoadedAdapter, Boolean> formerAdapters = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<LoadedAdapter, Boolean> eldest) {
            return size() > FORMER_ADAPTERS;
        }
    };
    private final Set<AdapterName> waitingLoads = new HashSet<>();
    private Optional<HostId> commander = Optional.empty();

    EndpointState(EndpointListing listing) {
        this.listing = listing;
        takeAdapters();
    }

    EndpointListing listing() {
        return listing;
    }

    EndpointId id() {
        return listing.id();
    }

    /** Takes a newer entry of the endpoint; returns whether its process is a new one. */
    boolean update(EndpointListing newer) {
        boolean restarted = newer.started() != listing.started();
        boolean commandsChanged = newer.commandSequence() != listing.commandSequence();
        listing = newer;
        removeAt = Instant.MAX;
        if (restarted) {
            forget();
        }
        if (restarted || commandsChanged && commander.isEmpty()) {
            takeAdapters();
        }
        return restarted;
    }

    private void forget() {
        baseModels = Set.of();
        adapters.clear();
        prefixes.clear();
        use.clear();
        failureShare = 0;
        slowness = 1;
        avoidUntil = Instant.MIN;
        pause = FIRST_PAUSE;
        commander = Optional.empty();
        waitingLoads.clear();
    }

    private void takeAdapters() {
        Map<AdapterName, AdapterPlace> listed = new HashMap<>();
        for (LoadedAdapter loaded : listing.adapters()) {
            listed.put(loaded.name(), new AdapterPlace(loaded.version(), Instant.MIN));
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

    /** Returns whether the runner holds the base model of a request, if it names one. */
    boolean holdsBaseModelOf(ForwardRequest request) {
        return request.baseModel().isEmpty()
                || baseModels.contains(request.baseModel().get());
    }

    void removeAt(Instant instant) {
        removeAt = instant;
    }

    Instant removeAt() {
        return removeAt;
    }

    Map<AdapterName, AdapterPlace> adapters() {
        return adapters;
    }

    /** Takes the adapters that the runner now has, and remembers those that made way. */
    void replaceAdapters(Map<AdapterName, AdapterPlace> newer) {
        adapters.forEach((name, place) -> {
            if (!newer.containsKey(name)) {
                noteFormer(name, place.version());
            }
        });
        adapters.clear();
        adapters.putAll(newer);
    }

    /** Removes an adapter that made way. */
    void removeAdapter(AdapterName name) {
        AdapterPlace place = adapters.remove(name);
        if (place != null) {
            noteFormer(name, place.version());
        }
    }

    private void noteFormer(AdapterName name, long version) {
        LoadedAdapter former = new LoadedAdapter(name, version);
        formerAdapters.remove(former);
        formerAdapters.put(former, Boolean.TRUE);
    }

    /** Returns whether the runner held an adapter version lately, so that it loads without the weight store. */
    boolean heldLately(AdapterName name, long version) {
        return formerAdapters.containsKey(new LoadedAdapter(name, version));
    }

    /** Returns how long a load takes if no others are on their way. */
    Duration loadTime(AdapterName name, long version) {
        return heldLately(name, version) ? ServiceTimes.ADAPTER_RELOAD : ServiceTimes.ADAPTER_LOAD;
    }

    PrefixIndex prefixes() {
        return prefixes;
    }

    void setCommander(HostId host) {
        commander = Optional.of(host);
    }

    /** Returns the host that said last that it commands the runner. */
    Optional<HostId> commander() {
        return commander;
    }

    boolean takesRequests(Instant now) {
        return condition(now) == EndpointCondition.IN_USE;
    }

    EndpointCondition condition(Instant now) {
        if (!now.isBefore(removeAt)) {
            return EndpointCondition.GONE;
        }
        if (listing.draining()) {
            return EndpointCondition.LEAVING;
        }
        return now.isBefore(avoidUntil) ? EndpointCondition.PAUSED : EndpointCondition.IN_USE;
    }

    void notConnected(Instant now) {
        avoidUntil = now.plus(pause);
        pause = pause.multipliedBy(2).compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause.multipliedBy(2);
    }

    void avoidUntil(Instant instant) {
        avoidUntil = instant;
    }

    void countOutcome(boolean success, Instant now) {
        failureShare += OUTCOME_WEIGHT * ((success ? 0 : 1) - failureShare);
        if (success) {
            pause = FIRST_PAUSE;
        } else {
            lastFailureAt = now;
        }
    }

    /** Returns the share of failures among the last answers; it halves with each second without one. */
    double failureShare(Instant now) {
        if (failureShare == 0) {
            return 0;
        }
        double seconds = Duration.between(lastFailureAt, now).toMillis() / 1000.0;
        return failureShare * Math.pow(0.5, Math.max(0, seconds));
    }

    void countSpeed(double measuredOverPredicted) {
        double bounded = Math.min(4, Math.max(0.5, measuredOverPredicted));
        slowness += SPEED_WEIGHT * (bounded * slowness - slowness);
        slowness = Math.min(4, Math.max(0.5, slowness));
    }

    void countRun(Duration time) {
        runMilliseconds += OUTCOME_WEIGHT * (time.toMillis() - runMilliseconds);
    }

    /** Returns the usual time for which a request uses its adapter here. */
    double runMilliseconds() {
        return runMilliseconds;
    }

    double slowness() {
        return slowness;
    }

    void setUse(HostId host, EndpointUsage newer) {
        if (newer.running() == 0) {
            use.remove(host);
        } else {
            use.put(host, newer);
        }
        newer.newPrefixes().forEach(prefixes::add);
    }

    void forgetUse(HostId host) {
        use.remove(host);
    }

    int running() {
        int sum = 0;
        for (EndpointUsage one : use.values()) {
            sum += one.running();
        }
        return sum;
    }

    int waitingTokens() {
        int sum = 0;
        for (EndpointUsage one : use.values()) {
            sum += one.waitingTokens();
        }
        return sum;
    }

    long cacheTokens() {
        long sum = 0;
        for (EndpointUsage one : use.values()) {
            sum += one.cacheTokens();
        }
        return sum;
    }

    /** Returns how many adapters could be loaded now, into free places or those of adapters that nobody needs. */
    int room(int slots, Instant now) {
        int room = slots - adapters.size();
        for (Map.Entry<AdapterName, AdapterPlace> entry : adapters.entrySet()) {
            room += entry.getValue().isSettled(now) && !isUsed(entry.getKey()) ? 1 : 0;
        }
        return room - waitingLoads.size();
    }

    void setWaitingLoads(Collection<AdapterName> loads) {
        waitingLoads.clear();
        waitingLoads.addAll(loads);
    }

    /** Returns whether the commander of the runner has been asked for an adapter and will load it. */
    boolean isWaitingFor(AdapterName adapter) {
        return waitingLoads.contains(adapter);
    }

    /** A request found an adapter missing that should be there; returns whether that is news. */
    boolean noteLate(AdapterName adapter, Instant now) {
        AdapterPlace place = adapters.get(adapter);
        if (place == null) {
            return false;
        }
        adapters.put(adapter, new AdapterPlace(place.version(), now.plus(LATE_LOAD)));
        return true;
    }

    /** Returns whether the load of an adapter was expected to end within the last moments. */
    boolean becameReadyWithin(AdapterName adapter, Duration limit, Instant now) {
        AdapterPlace place = adapters.get(adapter);
        return place != null
                && !place.readyAt().equals(Instant.MIN)
                && place.isReady(now)
                && now.isBefore(place.readyAt().plus(limit));
    }

    boolean isUsed(AdapterName adapter) {
        for (EndpointUsage one : use.values()) {
            if (one.adapters().contains(adapter)) {
                return true;
            }
        }
        return false;
    }
}
