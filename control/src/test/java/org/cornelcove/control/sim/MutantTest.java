package org.cornelcove.control.sim;

import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Verifies that each checker reports violations on a system with a deliberate fault. */
class MutantTest {
    private static final long SEEDS = 24;
    /** The minimum number of failing seeds; with a lower one the test would depend on a few random seeds. */
    private static final long MIN_FAILING_SEEDS = 3;

    static Stream<Arguments> mutants() {
        return Stream.of(
                arguments(Mutant.FREED_ON_CANCEL, Step.SUBMITTED, Fault.DUPLICATED, Checkers.HOST_NEVER_OVER_CAPACITY),
                arguments(Mutant.SHORT_WAIT, Step.STARTED, Fault.WORKER_CUT_LONG, Checkers.NO_JOB_IN_TWO_PLACES),
                arguments(Mutant.LEASE_IGNORED, Step.STARTED, Fault.WORKER_CUT_LONG, Checkers.NO_JOB_IN_TWO_PLACES),
                arguments(Mutant.NO_BARRIER, Step.STARTED, Fault.LEADER_CUT_OFF, Checkers.NO_JOB_IN_TWO_PLACES),
                arguments(Mutant.CHECKPOINT_DROPPED, Step.SUBMITTED, Fault.DUPLICATED, Checkers.EVICTED_RESUMES_ONCE),
                arguments(Mutant.NO_CLAIM, Step.SUBMITTED, Fault.DUPLICATED, Checkers.KEY_DISPATCHED_ONCE),
                arguments(
                        Mutant.RELEASE_OF_ANY_GRANT,
                        Step.SUBMITTED,
                        Fault.DUPLICATED_LATE,
                        Checkers.KEY_DISPATCHED_ONCE),
                arguments(Mutant.NO_BARRIER, Step.PROPOSED, Fault.LEADER_CUT_OFF, Checkers.CONFIGURATION_NEVER_REVERTS),
                arguments(
                        Mutant.PROPOSALS_RENUMBERED,
                        Step.IN_FORCE,
                        Fault.OPERATOR_RESENDS,
                        Checkers.CONFIGURATION_NEVER_REVERTS),
                arguments(Mutant.LOST_NEVER_ENDED, Step.STARTED, Fault.WORKER_CUT_LONG, Checkers.EVERY_JOB_ENDS),
                arguments(Mutant.SHORT_WAIT, Step.IN_FORCE, Fault.ENTRY_CUT, Checkers.ONE_OWNER),
                arguments(Mutant.WITHDRAWALS_IGNORED, Step.IN_FORCE, Fault.ENTRY_CUT, Checkers.ONE_OWNER),
                arguments(Mutant.NO_BARRIER, Step.CANCELLED, Fault.LEADER_CUT_OFF, Checkers.JOB_DECIDED_ONCE));
    }

    @ParameterizedTest
    @MethodSource("mutants")
    void checkerDetectsMutant(Mutant mutant, Step step, Fault fault, Checkers checker) {
        long failingSeeds = LongStream.range(0, SEEDS)
                .mapToObj(seed -> Simulation.run(seed, mutant, step, fault, null))
                .filter(sim -> !checker.violations(sim.history).isEmpty())
                .count();
        assertThat("failing seeds of " + SEEDS, failingSeeds, is(greaterThanOrEqualTo(MIN_FAILING_SEEDS)));
    }
}
