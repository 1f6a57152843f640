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
 * State shared by all connections of a transport.
 *
 * @param addressLookup looks up the address of a peer; must not block
 * @param listener receives messages and connection events
 * @param clock clock for detecting idle connections
 * @param counters totals
 * @param connector opens connections
 * @param peerLinks returns the state of a peer, and creates it on the given event loop if there is none
 */
public record TransportContext(
        PeerTransportSettings settings,
        Function<HostId, Optional<NetworkAddress>> addressLookup,
        PeerListener listener,
        InstantSource clock,
        CounterSet counters,
        Connector connector,
        BiFunction<HostId, EventLoop, PeerLink> peerLinks) {}
