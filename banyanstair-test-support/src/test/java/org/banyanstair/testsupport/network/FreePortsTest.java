package org.banyanstair.testsupport.network;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link FreePorts}. */
class FreePortsTest {
    private static final int PORTS_PER_PROCESS = 300;

    @Test
    void processesWithNeighbouringIdsGetDifferentPorts() {
        FreePorts first = new FreePorts(17);
        FreePorts second = new FreePorts(18);
        Set<Integer> allocated = new HashSet<>();
        for (int count = 0; count < PORTS_PER_PROCESS; count++) {
            assertTrue(allocated.add(first.allocate().port()));
            assertTrue(allocated.add(second.allocate().port()));
        }
    }
}
