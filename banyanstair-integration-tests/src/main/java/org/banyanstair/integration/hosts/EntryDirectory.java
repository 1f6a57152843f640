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
 * Addresses as a caller keeps them: asked from any known host, kept until the answer says, then asked again.
 *
 * <p>Safe for use by several threads.
 */
public final class EntryDirectory {
    private static final CallerHeaders HEADERS =
            new CallerHeaders(Cluster.key(Cluster.CALLER), Optional.empty(), Optional.empty(), Optional.empty());

    private final HttpCaller caller;
    private final Set<NetworkAddress> known = new LinkedHashSet<>();
    private EntryList kept = new EntryList(List.of(), Instant.MIN);
    private int next;

    /**
     * Creates a directory.
     *
     * @param caller client that asks
     * @param first addresses to begin with
     */
    public EntryDirectory(HttpCaller caller, List<NetworkAddress> first) {
        this.caller = caller;
        known.addAll(first);
    }

    /**
     * Chooses the host for the next request.
     *
     * @return its caller address
     */
    public synchronized NetworkAddress choose() {
        if (!Instant.now().isBefore(kept.keepUntil()) || kept.addresses().isEmpty()) {
            refresh();
        }
        next++;
        return kept.addresses().get(Math.floorMod(next, kept.addresses().size()));
    }

    private void refresh() {
        List<NetworkAddress> candidates = new ArrayList<>(kept.addresses());
        known.stream().filter(address -> !candidates.contains(address)).forEach(candidates::add);
        for (NetworkAddress candidate : candidates) {
            try {
                EntryList answer = caller.entryAddresses(candidate, HEADERS).join();
                if (!answer.addresses().isEmpty()) {
                    kept = answer;
                    known.addAll(answer.addresses());
                    return;
                }
            } catch (CompletionException exception) {
                // The host is gone; the next one is asked.
                continue;
            }
        }
        throw new IllegalStateException("none of " + candidates + " answers with addresses");
    }
}
