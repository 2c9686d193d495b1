package org.cornelcove.policy.admission;

import java.util.HashMap;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ReturnSpreadTest {
    @Property(seed = "21", tries = 100)
    void retriesAreSpreadAtTheGivenRate(
            @ForAll @IntRange(min = 1, max = 5000) int refusals,
            @ForAll @IntRange(min = 10, max = 500) int perSecond,
            @ForAll long seed) {
        ReturnSpread returns = ReturnSpread.seeded(seed);
        Map<Long, Integer> bySecond = new HashMap<>();
        for (int i = 0; i < refusals; i++) {
            long delayMs = returns.nextDelayMs(0, 500, perSecond);
            assertThat(delayMs, lessThanOrEqualTo(ReturnSpread.MAX_DELAY_MS));
            bySecond.merge(delayMs / 1000, 1, Integer::sum);
        }
        int beyondSchedule = Math.max(0, refusals - perSecond * 59);
        int randomShare = beyondSchedule / 59 + 6 * (int) Math.ceil(Math.sqrt(beyondSchedule / 59.0));
        bySecond.values().forEach(count -> assertThat(count, lessThanOrEqualTo(perSecond + 1 + randomShare)));
    }
}
