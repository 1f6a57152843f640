package org.banyanstair.testsupport.network;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.banyanstair.model.NetworkAddress;

/**
 * Allocates free loopback ports that no other process allocates. Thread-safe.
 *
 * <p>A process owns whole blocks of ports. It listens on the first port of a block for as long as it lives, so that
 * processes that run at the same time never own the same block. A port is allocated again only after all other ports
 * of the range have been. The range lies below the ephemeral ports of the operating system, because outgoing
 * connections have taken such ports before the daemon bound them.
 */
public final class FreePorts {
    /** Loopback address that the ports belong to. */
    public static final String LOOPBACK = "127.0.0.1";

    private static final int FIRST_PORT = 10_000;

    private static final int BLOCK_COUNT = 200;

    private static final int BLOCK_SIZE = 100;

    private static final FreePorts OF_THIS_PROCESS =
            new FreePorts((int) (ProcessHandle.current().pid() % BLOCK_COUNT));

    /** Sockets on the first ports of the owned blocks. */
    private final List<ServerSocket> guards = new ArrayList<>();

    private int nextBlock;

    private int unclaimedBlocks = BLOCK_COUNT;

    private int ownedBlock;

    private int nextInBlock = BLOCK_SIZE;

    /**
     * Creates an allocator without blocks.
     *
     * @param firstBlock block that it claims first if no one owns it
     */
    FreePorts(int firstBlock) {
        this.nextBlock = firstBlock;
    }

    /**
     * Allocates a port to this process.
     *
     * @return address whose port was free when it was checked
     * @throws IllegalStateException if other processes own all ports
     */
    public static NetworkAddress next() {
        return OF_THIS_PROCESS.allocate();
    }

    /**
     * Allocates a port.
     *
     * @return address whose port was free when it was checked
     * @throws IllegalStateException if other processes own all ports
     */
    synchronized NetworkAddress allocate() {
        while (true) {
            if (nextInBlock == BLOCK_SIZE) {
                claimBlock();
            }
            int port = ownedBlock + nextInBlock++;
            Optional<ServerSocket> socket = listen(port);
            if (socket.isPresent()) {
                close(socket.get());
                return new NetworkAddress(LOOPBACK, port);
            }
        }
    }

    /** Claims a block that no process owns or, if there is none, returns to the block that was claimed longest ago. */
    private void claimBlock() {
        while (unclaimedBlocks > 0) {
            int firstPort = FIRST_PORT + nextBlock * BLOCK_SIZE;
            nextBlock = (nextBlock + 1) % BLOCK_COUNT;
            unclaimedBlocks--;
            Optional<ServerSocket> guard = listen(firstPort);
            if (guard.isPresent()) {
                guards.add(guard.get());
                use(firstPort);
                return;
            }
        }
        if (guards.isEmpty()) {
            throw new IllegalStateException("other processes own all ports");
        }
        guards.add(guards.remove(0));
        use(guards.get(guards.size() - 1).getLocalPort());
    }

    private void use(int firstPort) {
        ownedBlock = firstPort;
        nextInBlock = 1;
    }

    private static Optional<ServerSocket> listen(int port) {
        try {
            return Optional.of(new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK)));
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new IllegalStateException("cannot close a listening socket", exception);
        }
    }
}
