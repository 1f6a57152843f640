package org.banyanstair.forwarder.internal;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ResponseMemoryBudgetTest {
    private final ResponseMemoryBudget budget = new ResponseMemoryBudget(100);
    private final List<TestOwner> evicted = new ArrayList<>();

    private final class TestOwner implements ResponseMemoryBudget.BufferOwner {
        @Override
        public void evict() {
            evicted.add(this);
            budget.setUsage(this, 0);
        }
    }

    @Test
    void largestResponseIsEvictedFirst() {
        TestOwner small = new TestOwner();
        TestOwner large = new TestOwner();
        TestOwner middle = new TestOwner();
        budget.setUsage(small, 10);
        budget.setUsage(middle, 30);
        budget.setUsage(large, 60);
        assertEquals(List.of(), evicted);
        budget.setUsage(small, 11);
        assertEquals(List.of(large), evicted);
        assertEquals(41, budget.usedBytes());
    }

    @Test
    void responseThatAloneExceedsBudgetIsEvicted() {
        TestOwner only = new TestOwner();
        budget.setUsage(only, 101);
        assertEquals(List.of(only), evicted);
        assertEquals(0, budget.usedBytes());
    }

    @Test
    void completedResponsesFreeTheirMemory() {
        for (int index = 0; index < 50; index++) {
            TestOwner owner = new TestOwner();
            budget.setUsage(owner, 90);
            budget.setUsage(owner, 0);
        }
        assertEquals(List.of(), evicted);
        assertEquals(0, budget.usedBytes());
    }
}
