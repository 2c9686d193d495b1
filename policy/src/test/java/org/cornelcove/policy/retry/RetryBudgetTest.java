package org.cornelcove.policy.retry;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class RetryBudgetTest {
    @Property(seed = "31", tries = 100)
    void retriesStayBelowTheirShareOfFirstSends(@ForAll @IntRange(min = 1, max = 20) int percent, @ForAll long seed) {
        RetryBudget budget = RetryBudget.of(percent, 10);
        Random random = new Random(seed);
        int first = 0;
        int retries = 0;
        for (int i = 0; i < 2000; i++) {
            if (random.nextBoolean()) {
                budget.noteFirstSend();
                first++;
            } else if (budget.tryRetry()) {
                retries++;
            }
            assertThat(retries, lessThanOrEqualTo(10 + first * percent / 100));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "true, 1, 100, 50, true",
        "false, 1, 100, 50, false",
        "true, 3, 100, 50, false",
        "true, 1, 40, 50, false"
    })
    void onlyProvedUnrunRequestsAreSentAgain(
            boolean provedNotRun, int sends, long remainingUs, long expectedUs, boolean allowed) {
        RetryBudget budget = RetryBudget.of(5, 10);
        assertThat(RetryDecision.mayRetry(provedNotRun, sends, remainingUs, expectedUs, budget), is(allowed));
    }
}
