package org.banyanstair.ownership;

import java.util.List;
import java.util.stream.IntStream;

import org.banyanstair.model.HostId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a hash that moves pools between remaining hosts, or distributes them unevenly. */
class RendezvousHashTest {
    private static List<HostId> hosts(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new HostId("entry-" + number))
                .toList();
    }

    @ParameterizedTest
    @CsvSource({"9,1", "370,14"})
    void onlyNamesOfLeavingHostsMove(int count, int leaving) {
        List<HostId> before = hosts(count);
        List<HostId> after = before.subList(leaving, count);
        int names = 10_000;
        int moved = 0;
        for (int name = 0; name < names; name++) {
            HostId owner = RendezvousHash.first("name-" + name, before).orElseThrow();
            HostId next = RendezvousHash.first("name-" + name, after).orElseThrow();
            if (after.contains(owner)) {
                assertEquals(owner, next);
            } else {
                moved++;
            }
        }
        double expected = names * leaving / (double) count;
        // Six standard deviations of the binomial distribution.
        assertTrue(Math.abs(moved - expected) < 6 * Math.sqrt(expected), moved + " moved, expected " + expected);
    }
}
