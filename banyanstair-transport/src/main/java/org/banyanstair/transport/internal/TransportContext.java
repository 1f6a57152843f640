package org.banyanstair.transport.internal;

import java.time.InstantSource;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.transport.PeerListener;
import org.banyanstair.transport.PeerTransportSettings;

/**
 * What all connections of a transport share.
 *
 * @param settings the settings
 * @param addresses finds the address of a peer; must not block
 * @param listener receives messages and events
 * @param instants the clock for idle connections
 * @param counters totals
 * @param dialer opens connections
 * @param links finds the state of a peer, and creates it on the given event loop if there is none
 */
public record TransportContext(
        PeerTransportSettings settings,
        Function<HostId, Optional<NetworkAddress>> addresses,
        PeerListener listener,
        InstantSource instants,
        CounterSet counters,
        Connector dialer,
        BiFunction<HostId, EventLoop, PeerLink> links) {}
