package org.pollensill.retry;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RetryBudgetTest {

    @Test
    void shouldRefuseRepeatsOnceTheSavedOnesAreTaken() {
        RetryBudget budget = RetryBudget.of(0.5, 0, 2);
        assertTrue(budget.tryRepeat(0));
        assertTrue(budget.tryRepeat(0));
        assertFalse(budget.tryRepeat(0));
        budget.firstAttempt();
        assertFalse(budget.tryRepeat(0));
        budget.firstAttempt();
        assertTrue(budget.tryRepeat(0));
    }

    @Test
    void shouldAllowARepeatAfterATimeWithoutFirstAttempts() {
        RetryBudget budget = RetryBudget.of(0, 10, 1);
        assertTrue(budget.tryRepeat(1_000));
        assertFalse(budget.tryRepeat(1_099));
        assertTrue(budget.tryRepeat(1_200));
    }

    @Test
    void shouldRejectLimitsThatAllowNoRepeatEver() {
        assertThrows(IllegalArgumentException.class, () -> RetryBudget.of(0.2, 1, 0));
        assertThrows(IllegalArgumentException.class, () -> RetryBudget.of(-1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> RetryBudget.of(1, Double.NaN, 1));
    }

    // Guards against repeats that multiply the load of an overloaded target.
    @Property(tries = 200, seed = "20261205")
    void shouldNeverAllowMoreThanItsShare(@ForAll @Size(max = 300) List<@IntRange(max = 3) Integer> repeatsPerCall) {
        RetryBudget budget = RetryBudget.of(0.2, 10, 5);
        int allowed = 0;
        long nowMs = 0;
        for (int repeats : repeatsPerCall) {
            budget.firstAttempt();
            for (int i = 0; i < repeats; i++) {
                allowed += budget.tryRepeat(nowMs) ? 1 : 0;
            }
            nowMs += 7;
        }
        assertTrue(allowed <= 5 + 0.2 * repeatsPerCall.size() + 10 * nowMs / 1_000.0 + 1e-6);
    }
}
