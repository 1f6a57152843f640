package org.banyanstair.integration.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

import org.banyanstair.model.NetworkAddress;

/** Finds free ports on loopback and never gives the same one twice. Safe for use by several threads. */
final class FreePorts {
    static final String LOOPBACK = "127.0.0.1";

    private final Set<Integer> given = new HashSet<>();

    synchronized NetworkAddress next() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
                if (given.add(socket.getLocalPort())) {
                    return new NetworkAddress(LOOPBACK, socket.getLocalPort());
                }
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }
    }
}
