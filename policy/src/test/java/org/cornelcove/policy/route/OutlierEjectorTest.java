package org.cornelcove.policy.route;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.cornelcove.policy.learn.RunTimeEstimate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class OutlierEjectorTest {
    private static final int TARGETS = 4;
    private static final int EXPECTED_US = 500;

    @ParameterizedTest
    @CsvSource({"0, 1000000, ABANDONED", "8, 800, ABANDONED", "8, 801, FAILED"})
    void missingAnswerIsAFailureOnlyAfterEnoughTime(long samples, long tookUs, SendOutcome outcome) {
        RunTimeEstimate kind = new RunTimeEstimate(samples, 100, 100, 200, 300);
        assertThat(OutlierEjector.classifyTimeout(tookUs, kind), is(outcome));
    }

    /** Each target answers at the given rate; the first target's run times are multiplied by a factor from 1 s on. */
    @ParameterizedTest
    @CsvSource({
        // answers per second, run time factor, duration in ms, ejected
        "8000, 20, 10, false",
        "8000, 20, 100, false",
        "8000, 1, 10000, false",
        "8000, 20, 1000, true",
        "8000, 4, 3000, true",
        "100, 20, 20, false",
        "100, 4, 3000, true",
        "2, 4, 30000, true"
    })
    void ejectsSlowTargetButNotOneThatPausedBriefly(int perSecond, int times, int forMs, boolean ejected) {
        assertThat(
                "recorded by one thread at a time",
                ejects(perSecond, times, forMs, OutlierEjector::recordOutcome),
                is(ejected));
        assertThat(
                "recorded in two steps", ejects(perSecond, times, forMs, OutlierEjectorTest::inTwoSteps), is(ejected));
    }

    /** Records an answer, in one of the two supported ways. */
    private interface OutcomeRecorder {
        boolean recordOutcome(
                TargetHealth target,
                Collection<TargetHealth> group,
                Function<TargetHealth, TargetHealth> healthOf,
                SendResult sendResult,
                long nowMs);
    }

    private static boolean inTwoSteps(
            TargetHealth target,
            Collection<TargetHealth> group,
            Function<TargetHealth, TargetHealth> healthOf,
            SendResult sendResult,
            long nowMs) {
        return OutlierEjector.recordAnswer(target, group, healthOf, sendResult, nowMs)
                && OutlierEjector.ejectIfUnhealthy(target, group, healthOf, nowMs);
    }

    private static boolean ejects(int perSecond, int times, int forMs, OutcomeRecorder recorder) {
        List<TargetHealth> all =
                Stream.generate(TargetHealth::create).limit(TARGETS).toList();
        int answers = (1_000 + forMs) * perSecond / 1_000;
        return IntStream.range(0, answers)
                .mapToObj(i -> answered(all, 1_000L * i / perSecond, times, recorder))
                .reduce(false, Boolean::logicalOr);
    }

    private static boolean answered(List<TargetHealth> all, long nowMs, int times, OutcomeRecorder recorder) {
        boolean ejected = false;
        for (TargetHealth target : all) {
            long tookUs = target == all.get(0) && nowMs >= 1_000 ? (long) times * EXPECTED_US : EXPECTED_US;
            SendResult sendResult = new SendResult(SendOutcome.ANSWERED, tookUs, EXPECTED_US);
            ejected |= recorder.recordOutcome(target, all, Function.identity(), sendResult, nowMs);
        }
        return ejected;
    }
}
