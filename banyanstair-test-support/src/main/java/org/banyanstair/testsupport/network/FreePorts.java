package org.banyanstair.testsupport.network;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import org.banyanstair.model.NetworkAddress;

/**
 * Allocates free loopback ports, each at most once per cycle of its port range. Thread-safe.
 *
 * <p>The range lies below the ephemeral ports of the operating system, because outgoing connections have taken such
 * ports before the daemon bound them.
 */
public final class FreePorts {
    /** Loopback address that the ports belong to. */
    public static final String LOOPBACK = "127.0.0.1";

    private static final int FIRST_PORT = 10_000;

    private static final int PORT_COUNT = 20_000;

    /** Starts at a different port for each process, so that concurrent processes do not choose the same ports. */
    private int offset = (int) (ProcessHandle.current().pid() * 61 % PORT_COUNT);

    /**
     * Allocates a port.
     *
     * @return address whose port was free when it was checked
     */
    public synchronized NetworkAddress next() {
        while (true) {
            offset = (offset + 1) % PORT_COUNT;
            int port = FIRST_PORT + offset;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
                return new NetworkAddress(LOOPBACK, socket.getLocalPort());
            } catch (IOException exception) {
                continue;
            }
        }
    }
}
