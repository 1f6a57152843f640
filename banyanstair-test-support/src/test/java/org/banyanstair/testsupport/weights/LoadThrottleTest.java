package org.banyanstair.testsupport.weights;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a throttle that starts loads at another rate, or transfers at another speed, than configured. */
class LoadThrottleTest {
    private static final long SECOND = 1_000_000_000L;
    private static final WeightStoreSettings SETTINGS = new WeightStoreSettings(4, 2, Duration.ofMillis(250), 8, 10);

    @Test
    void loadsBeyondTheBurstStartAtTheConfiguredRate() {
        LoadThrottle throttle = new LoadThrottle(SETTINGS, 0);
        assertEquals(0, throttle.reserveStart(0));
        assertEquals(0, throttle.reserveStart(0));
        assertEquals(SECOND / 4, throttle.reserveStart(0));
        assertEquals(SECOND / 2, throttle.reserveStart(0));
        assertEquals(SECOND / 4, throttle.reserveStart(SECOND / 2));
        assertEquals(0, throttle.reserveStart(10 * SECOND));
    }

    @Test
    void transfersTakeProportionallyLongerBeyondTheLimit() {
        LoadThrottle throttle = new LoadThrottle(SETTINGS, 0);
        for (int i = 0; i < 8; i++) {
            assertEquals(SECOND / 4, throttle.beginTransfer());
        }
        for (int i = 9; i < 16; i++) {
            throttle.beginTransfer();
        }
        assertEquals(SECOND / 2, throttle.beginTransfer());
        for (int i = 0; i < 16; i++) {
            throttle.endTransfer();
        }
        assertEquals(SECOND / 4, throttle.beginTransfer());
    }
}
