package org.banyanstair.forwarder.internal;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ResponseMemoryBudgetTest {
    private final ResponseMemoryBudget memory = new ResponseMemoryBudget(100);
    private final List<Holder> evicted = new ArrayList<>();

    private final class Holder implements ResponseMemoryBudget.Holder {
        @Override
        public void evict() {
            evicted.add(this);
            memory.resize(this, 0);
        }
    }

    @Test
    void largestAnswersAreEvictedSoThatSmallOnesGoOn() {
        Holder small = new Holder();
        Holder large = new Holder();
        Holder middle = new Holder();
        memory.resize(small, 10);
        memory.resize(middle, 30);
        memory.resize(large, 60);
        assertEquals(List.of(), evicted);
        memory.resize(small, 11);
        assertEquals(List.of(large), evicted);
        assertEquals(41, memory.used());
    }

    @Test
    void answerThatAloneExceedsTheMemoryIsEvicted() {
        Holder only = new Holder();
        memory.resize(only, 101);
        assertEquals(List.of(only), evicted);
        assertEquals(0, memory.used());
    }

    @Test
    void memoryOfAnswersThatEndedIsFree() {
        for (int index = 0; index < 50; index++) {
            Holder holder = new Holder();
            memory.resize(holder, 90);
            memory.resize(holder, 0);
        }
        assertEquals(List.of(), evicted);
        assertEquals(0, memory.used());
    }
}
