package org.cornelcove.replication.core;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
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
                .flatMap(step -> Stream.of(0, 1, 2).map(seed -> new FaultCell(fault, Optional.empty(), step, seed))));
    }

    /** Each pair of faults at one step. Pairs of two lost disks are left out: three members do not survive them. */
    static Stream<FaultCell> pairs() {
        Step[] steps = Step.values();
        return Arrays.stream(Fault.values()).flatMap(first -> Arrays.stream(Fault.values())
                .filter(second -> !first.losesDisk() || !second.losesDisk())
                .map(second -> {
                    int number = first.ordinal() * Fault.values().length + second.ordinal();
                    return new FaultCell(first, Optional.of(second), steps[number % steps.length], number % 3);
                }));
    }

    @ParameterizedTest
    @MethodSource({"cells", "pairs"})
    void everyGuaranteeHolds(FaultCell cell) {
        FaultCell.Outcome outcome = cell.run(Mutant.NONE);
        History history = outcome.history();
        assertThat("the fault was injected", outcome.hit(), is(true));
        assertThat(history.violations(), is(Map.of()));
        assertThat(history.acknowledgedCount(), is(greaterThan(50)));
        assertThat(history.readCount(), is(greaterThan(50)));
    }
}
