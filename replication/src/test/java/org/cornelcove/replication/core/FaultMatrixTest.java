package org.cornelcove.replication.core;

import java.util.Arrays;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

@Execution(ExecutionMode.CONCURRENT)
class FaultMatrixTest {
    static Stream<FaultCell> cells() {
        return Arrays.stream(Fault.values()).flatMap(fault -> Arrays.stream(Step.values())
                .flatMap(step -> Stream.of(0, 1, 2).map(seed -> new FaultCell(fault, step, seed))));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void everyGuaranteeHolds(FaultCell cell) {
        History history = cell.run(Mutant.NONE).history();
        assertThat(history.violations(), is(Map.of()));
        assertThat(history.acknowledgedCount(), is(greaterThan(50)));
        assertThat(history.readCount(), is(greaterThan(50)));
    }
}
