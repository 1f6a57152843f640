package org.banyanstair.integration.bench;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against wrong slopes and intercepts, from which the figures of the capacity page are extrapolated. */
class LinearFitTest {
    @Test
    void pointsOnALineGiveTheLine() {
        LinearFit fit = LinearFit.of(new double[] {2, 4, 6, 9}, new double[] {11, 17, 23, 32});
        assertEquals(5, fit.intercept(), 1e-9);
        assertEquals(3, fit.slope(), 1e-9);
        assertEquals(1, fit.determination(), 1e-9);
        assertEquals(1_115, fit.at(370), 1e-9);
    }

    @Test
    void scatteredPointsGiveTheLeastSquaresLine() {
        LinearFit fit = LinearFit.of(new double[] {0, 1, 2}, new double[] {0, 2, 1});
        assertEquals(0.5, fit.intercept(), 1e-9);
        assertEquals(0.5, fit.slope(), 1e-9);
        assertEquals(0.25, fit.determination(), 1e-9);
    }

    @Test
    void onePointIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(new double[] {1}, new double[] {1}));
    }
}
