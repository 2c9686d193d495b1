package org.cornelcove.work.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class InterferenceTest {
    /** Simulates a worker under oscillating load and changing fill work of three images, one of which disturbs strongly. */
    private static Interference learned(int polls) {
        Random random = new Random(11);
        Map<String, Double> harm = Map.of("heavy", 4.0, "light", 0.1, "none", 0.0);
        Interference interference = new Interference();
        Map<String, Double> before = new HashMap<>();
        double tailBefore = 0;
        for (int poll = 0; poll < polls; poll++) {
            Map<String, Double> now = new HashMap<>();
            double tail = 0.5 * Math.sin(poll / 4.5) + 0.05 * random.nextGaussian();
            for (String image : harm.keySet()) {
                double use = random.nextInt(3) == 0 ? 0.1 * random.nextInt(3) : before.getOrDefault(image, 0.0);
                now.put(image, use);
                tail += harm.get(image) * use;
            }
            Map<String, Double> change = new HashMap<>();
            now.forEach((image, use) -> change.put(image, use - before.getOrDefault(image, 0.0)));
            if (poll > 0) {
                interference.observe("serving", tail - tailBefore, change);
            }
            before.clear();
            before.putAll(now);
            tailBefore = tail;
        }
        return interference;
    }

    @Test
    void findsTheDisturbingPairDespiteOscillatingLoad() {
        Interference interference = learned(300);
        assertThat(interference.harm("serving", "heavy"), closeTo(4.0, 0.8));
        assertThat(interference.harm("serving", "light"), lessThan(0.6));
        assertThat(interference.harm("serving", "none"), lessThan(0.5));
    }

    @Test
    void onlyTheHarmfulImageIsSlowed() {
        Interference interference = learned(300);
        List<PaceControl.Serving> serving = List.of(new PaceControl.Serving("serving", 0.95, false));
        int[] next = PaceControl.next(
                serving,
                List.of(new PaceControl.Fill("heavy", 0.1, 0.1), new PaceControl.Fill("none", 0.1, 0.1)),
                interference);
        assertThat(next[0], lessThan(60));
        assertThat(next[1], is(100));
    }

    @ParameterizedTest
    @CsvSource({"0.3, 100", "1.2, 0"})
    void slowedWorkReturnsToFullSpeedWhenTheTailLatencyAllowsIt(double share, int wanted) {
        int[] next = PaceControl.next(
                List.of(new PaceControl.Serving("serving", share, false)),
                List.of(new PaceControl.Fill("heavy", 0.1, 0)),
                learned(300));
        assertThat(next[0], is(wanted));
    }

    @Test
    void aTaskOverItsTargetTwiceStopsWhatDisturbsItAndNotWhatDoesNot() {
        int[] next = PaceControl.next(
                List.of(new PaceControl.Serving("serving", 1.3, true)),
                List.of(new PaceControl.Fill("none", 0.1, 0.1), new PaceControl.Fill("heavy", 0.05, 0.02)),
                learned(300));
        assertThat(next[0], is(100));
        assertThat(next[1], is(0));
    }

    @Test
    void learnedHarmIsRestoredByTheNextLeader() {
        Interference next = new Interference();
        next.restore(learned(300).summary());
        assertThat(next.harm("serving", "heavy"), closeTo(4.0, 0.8));
        assertThat(next.harm("serving", "none"), lessThan(0.5));
    }

    /** Load pattern: a peak of fill work is placed on one worker between two polls. */
    @Test
    void workThatStartedSinceTheLastPollIsCounted() {
        List<PaceControl.Serving> serving = List.of(new PaceControl.Serving("serving", 0.35, false));
        List<PaceControl.Fill> begun = List.of(new PaceControl.Fill("heavy", 0.1, 0));
        double first = PaceControl.cost(serving, List.of(), "heavy", 0.1, learned(300));
        double second = PaceControl.cost(serving, begun, "heavy", 0.1, learned(300));
        assertThat(first, lessThan(1.0));
        assertThat(second, greaterThan(1.0));
    }

    /** Load pattern: a lasting task's own load takes it near its target while harmless work runs beside it. */
    @Test
    void nearTheTargetByItsOwnLoadOnlyWorkThatWouldTakeItOverIsSlowed() {
        int[] next = PaceControl.next(
                List.of(new PaceControl.Serving("serving", 0.86, false)),
                List.of(new PaceControl.Fill("none", 0.1, 0), new PaceControl.Fill("heavy", 0.1, 0)),
                learned(300));
        assertThat(next[0], is(100));
        assertThat(next[1], lessThan(30));
    }

    @Test
    void imagesThatTheSameFillWorkDisturbsHaveNoDifference() {
        Interference interference = new Interference();
        interference.restore(List.of(
                new Interference.Pair("a", "heavy", 4),
                new Interference.Pair("a", "none", 0),
                new Interference.Pair("b", "heavy", 3),
                new Interference.Pair("b", "none", 0),
                new Interference.Pair("c", "heavy", 0),
                new Interference.Pair("c", "none", 0)));
        assertThat(interference.difference("a", "b"), is(0.0));
        assertThat(interference.difference("a", "c"), is(0.5));
        assertThat(interference.difference("a", "unknown"), is(1.0));
        assertThat(interference.fillTolerance(List.of("b", "c"), Map.of("heavy", 1.0, "none", 1.0)), is(0.5));
        assertThat(interference.fillTolerance(List.of("c"), Map.of("heavy", 1.0, "none", 1.0)), is(1.0));
    }

    /**
     * Load pattern: a peak of harmless fill work filled the only two of ten workers on which heavy work may run, and the
     * heavy work waited until its result was no longer useful.
     */
    @Test
    void fillToleranceIsWeightedByTheScarcityOfWorkers() {
        Interference interference = new Interference();
        interference.restore(List.of(
                new Interference.Pair("a", "heavy", 4),
                new Interference.Pair("a", "none", 0),
                new Interference.Pair("a", "little", 0),
                new Interference.Pair("c", "heavy", 0),
                new Interference.Pair("c", "none", 0),
                new Interference.Pair("c", "little", 0)));
        List<List<String>> workers = new ArrayList<>(Collections.nCopies(8, List.of("a", "a", "a")));
        workers.addAll(Collections.nCopies(2, List.of("c", "c")));
        Map<String, Double> scarcity = interference.scarcity(workers);
        assertThat(scarcity, is(Map.of("heavy", 0.5, "none", 0.1, "little", 0.1)));
        assertThat(interference.fillTolerance(List.of("c", "c"), scarcity), is(1.0));
        assertThat(interference.fillTolerance(List.of("a"), scarcity), is(closeTo(2.0 / 7, 1e-9)));
    }
}
