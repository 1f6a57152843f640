package org.banyanstair.integration.hosts;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.EntryList;
import org.banyanstair.testsupport.load.HttpCaller;

/**
 * Caches the addresses of entry hosts as a caller does: fetches them from any known host and keeps them until the time
 * given in the response.
 *
 * <p>Thread-safe.
 */
public final class EntryAddressCache {
    private static final CallerHeaders HEADERS =
            new CallerHeaders(Cluster.key(Cluster.CALLER), Optional.empty(), Optional.empty(), Optional.empty());

    private final HttpCaller caller;
    private final Set<NetworkAddress> knownAddresses = new LinkedHashSet<>();
    private EntryList cached = new EntryList(List.of(), Instant.MIN);
    private int requestCount;

    /**
     * Creates an empty cache.
     *
     * @param initialAddresses caller addresses of the hosts to ask first
     */
    public EntryAddressCache(HttpCaller caller, List<NetworkAddress> initialAddresses) {
        this.caller = caller;
        knownAddresses.addAll(initialAddresses);
    }

    /** Returns the caller address of the host for the next request, in round-robin order. */
    public synchronized NetworkAddress nextAddress() {
        if (!Instant.now().isBefore(cached.keepUntil()) || cached.addresses().isEmpty()) {
            refresh();
        }
        requestCount++;
        return cached.addresses()
                .get(Math.floorMod(requestCount, cached.addresses().size()));
    }

    private void refresh() {
        List<NetworkAddress> candidates = new ArrayList<>(cached.addresses());
        knownAddresses.stream().filter(address -> !candidates.contains(address)).forEach(candidates::add);
        for (NetworkAddress candidate : candidates) {
            try {
                EntryList answer = caller.entryAddresses(candidate, HEADERS).join();
                if (!answer.addresses().isEmpty()) {
                    cached = answer;
                    knownAddresses.addAll(answer.addresses());
                    return;
                }
            } catch (CompletionException exception) {
                // This host is unreachable; try the next one.
                continue;
            }
        }
        throw new IllegalStateException("no entry addresses: none of the hosts " + candidates + " returned any");
    }
}
