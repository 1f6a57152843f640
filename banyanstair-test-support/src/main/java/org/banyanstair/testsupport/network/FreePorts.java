package org.banyanstair.testsupport.network;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import org.banyanstair.model.NetworkAddress;

/**
 * Finds free ports on loopback and never gives the same one twice. Safe for use by several threads.
 *
 * <p>The ports lie below the range from which the operating system takes ports for outgoing connections; a port of that
 * range was once taken by such a connection before its daemon could bind it.
 */
public final class FreePorts {
    /** The address of the ports. */
    public static final String LOOPBACK = "127.0.0.1";

    private static final int FIRST_PORT = 10_000;

    private static final int PORT_COUNT = 20_000;

    /** Processes that run at the same time begin at different places. */
    private int offset = (int) (ProcessHandle.current().pid() * 61 % PORT_COUNT);

    /**
     * Finds a port.
     *
     * @return an address whose port was free a moment ago
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
