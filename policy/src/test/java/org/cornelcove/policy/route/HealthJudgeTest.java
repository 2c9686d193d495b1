package org.cornelcove.policy.route;

import org.cornelcove.policy.learn.RunTimeEstimate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class HealthJudgeTest {
    @ParameterizedTest
    @CsvSource({"0, 1000000, ABANDONED", "8, 800, ABANDONED", "8, 801, FAILED"})
    void silenceIsTheTargetsFaultOnlyWhenItHadLongEnough(long samples, long tookUs, SendOutcome outcome) {
        RunTimeEstimate kind = new RunTimeEstimate(samples, 100, 100, 200, 300);
        assertThat(HealthJudge.silent(tookUs, kind), is(outcome));
    }
}
