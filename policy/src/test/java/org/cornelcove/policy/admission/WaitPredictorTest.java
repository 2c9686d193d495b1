package org.cornelcove.policy.admission;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class WaitPredictorTest {
    @ParameterizedTest
    @CsvSource({
        "0, 0, 1.0, 8, 0",
        "800, 800, 1.0, 8, 100",
        "900, 100, 0.5, 8, 25",
        "900, 900, 0.25, 8, 113",
        "900, 0, 0.5, 8, 0"
    })
    void smallerOfBothBoundsIsThePrediction(long queuedUs, long ownAheadUs, double share, int slots, long waitUs) {
        assertThat(WaitPredictor.waitUs(queuedUs, ownAheadUs, share, slots), is(waitUs));
    }
}
