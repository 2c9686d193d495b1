package org.cornelcove.policy.learn;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.cornelcove.model.id.HostId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

class InterferenceModelTest {
    private static final double[] TRUE_ADDED = {0, 0.1, 0.6, 0.3};

    @ParameterizedTest(name = "seed {0}, throttled share {1}")
    @CsvSource({"1, 0", "2, 0", "3, 0.3"})
    void sharesSeparateOverDifferentMixes(long seed, double throttledShare) {
        InterferenceModel model = InterferenceModel.create();
        Random random = new Random(seed);
        for (int i = 0; i < 600; i++) {
            Map<String, Double> batchRates = new HashMap<>();
            double slowdown = 1;
            for (int kind = 0; kind < TRUE_ADDED.length; kind++) {
                if (random.nextBoolean()) {
                    double rate = random.nextDouble() < throttledShare ? 0.25 : 1;
                    batchRates.put("k" + kind, rate);
                    slowdown += rate * TRUE_ADDED[kind];
                }
            }
            model.observe("booking", batchRates, LoadBand.HIGH, slowdown + 0.02 * random.nextGaussian());
        }
        for (int kind = 0; kind < TRUE_ADDED.length; kind++) {
            PairEstimate estimate = model.estimate("booking", "k" + kind, LoadBand.HIGH);
            assertThat(estimate.added(), closeTo(TRUE_ADDED[kind], 0.08));
            assertThat(estimate.isKnown(), is(true));
        }
        assertThat(model.estimate("booking", "k2", LoadBand.LOW).isKnown(), is(false));
        assertThat(model.worst("booking", "k2", LoadBand.LOW).added(), closeTo(0.6, 0.08));
    }

    @Test
    void summaryCarriesOverAChangeOfLeader() {
        InterferenceModel model = InterferenceModel.create();
        for (int i = 0; i < 10; i++) {
            model.observe("booking", Map.of("cut", 1.0), LoadBand.HIGH, 1.5);
        }
        InterferenceModel next = InterferenceModel.create();
        next.restore(model.summary());
        assertThat(next.estimate("booking", "cut", LoadBand.HIGH), is(model.estimate("booking", "cut", LoadBand.HIGH)));
    }

    @ParameterizedTest
    @CsvSource({"99, ", "100, old", "199, old", "200, new", "5000, new"})
    void lateReportIsAttributedToTheKindsThatRanAtItsTime(long measuredAtMs, String kind) {
        PlacementHistory history = PlacementHistory.create();
        HostId host = HostId.of("w1");
        history.note(host, Map.of("old", 1.0), 100);
        history.note(host, Map.of("new", 1.0), 200);
        Optional<Map<String, Double>> expected = Optional.ofNullable(kind).map(k -> Map.of(k, 1.0));
        assertThat(history.at(host, measuredAtMs), is(expected));
    }
}
