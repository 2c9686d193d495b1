package org.cornelcove.policy.learn;

import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

class RunTimesTest {
    @ParameterizedTest(name = "declared {0}, real {1}, {2} runs")
    @CsvSource({
        "1000, 10000, 0, 1000",
        "1000, 10000, 7, 1000",
        "1000, 10000, 8, 10000",
        "100000, 10000, 100, 10000",
        "1000, 10000, 3000, 10000"
    })
    void declaredRunTimeIsUsedOnlyUntilRunsWereRecorded(long declaredUs, long realUs, int runs, double expectedUs) {
        RunTimes times = RunTimes.create();
        for (int i = 0; i < runs; i++) {
            times.record("s", "k", realUs);
        }
        assertThat((double) times.estimate("s", "k", declaredUs).p50Us(), closeTo(expectedUs, expectedUs * 0.02));
    }

    @ParameterizedTest
    @CsvSource({"600", "2000"})
    void estimatesFollowAChange(int runsAfter) {
        RunTimes times = RunTimes.create();
        Random random = new Random(5);
        for (int i = 0; i < 1000; i++) {
            times.record("s", "k", 1000 + random.nextInt(100));
        }
        for (int i = 0; i < runsAfter + 512; i++) {
            times.record("s", "k", 9000 + random.nextInt(100));
        }
        assertThat((double) times.estimate("s", "k", 1).p50Us(), closeTo(9050, 300));
    }
}
