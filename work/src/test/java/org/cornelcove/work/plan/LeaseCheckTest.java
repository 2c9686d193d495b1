package org.cornelcove.work.plan;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class LeaseCheckTest {
    private static final long WALL_MS = 1_700_000_000_000L;
    private static final long LEASE_MS = 1000;

    private final LeaseCheck check = new LeaseCheck();

    /** Checks every 10 ms, with a lease that is renewed every 100 ms until {@code untilMs}. */
    private long run(long fromMs, long untilMs, long skippedMs) {
        long endMs = 0;
        for (long nowMs = fromMs; nowMs <= untilMs; nowMs += 10) {
            endMs = nowMs - nowMs % 100 + LEASE_MS;
            assertThat(check.isValid(endMs, nowMs, WALL_MS + skippedMs + nowMs), is(true));
        }
        return endMs;
    }

    /** A suspension of these lengths, in which another leader may have been elected. */
    @ParameterizedTest
    @CsvSource({"151", "900", "2500", "6500", "60000"})
    void aLeaseFromBeforeASuspensionIsInvalidUntilItIsRenewed(long suspendedMs) {
        long endMs = run(0, 5000, 0);
        assertThat(check.isValid(endMs, 5010, WALL_MS + 5010 + suspendedMs), is(false));
        assertThat(check.isValid(endMs, 5020, WALL_MS + 5020 + suspendedMs), is(false));
        assertThat("renewal sent before", check.isValid(5900, 5030, WALL_MS + 5030 + suspendedMs), is(false));
        assertThat("renewal sent after", check.isValid(6050, 5060, WALL_MS + 5060 + suspendedMs), is(true));
        run(5100, 6000, suspendedMs);
    }

    @ParameterizedTest
    @CsvSource({"0", "3", "150", "-5000"})
    void smallDifferencesAndStepsBackKeepTheLease(long stepMs) {
        long endMs = run(0, 5000, 0);
        assertThat(check.isValid(endMs, 5010, WALL_MS + 5010 + stepMs), is(true));
    }

    @Test
    void aLeaseThatEndedIsInvalid() {
        long endMs = run(0, 5000, 0);
        assertThat(check.isValid(endMs, endMs - 1, WALL_MS + endMs - 1), is(true));
        assertThat(check.isValid(endMs, endMs, WALL_MS + endMs), is(false));
    }
}
