package org.cornelcove.replication.core;

import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** A member that ended between the write of an entry and its sync, and was started again on the same folder. */
class PowerLostAfterRestartTest {
    private static final int SEEDS = 100;
    private static final long ELECTED_MS = 2000;
    private static final long RESTART_AFTER_MS = 200;
    private static final long ACKNOWLEDGED_WITHIN_MS = 2000;
    private static final long RECOVERED_AFTER_MS = 6000;

    /** Each seed with the end of the process alone, as on a full disk, and with a loss of power. */
    static Stream<Arguments> plays() {
        return LongStream.range(0, SEEDS)
                .boxed()
                .flatMap(seed -> Stream.of(Arguments.of(seed, true), Arguments.of(seed, false)));
    }

    /**
     * Guards against the loss of an acknowledged command that a restarted member took for durable: two of the five
     * disks are lost, and all other members lose power.
     */
    @ParameterizedTest(name = "seed {0}, only the process ended: {1}")
    @MethodSource("plays")
    void anAcknowledgedCommandSurvivesTwoLostDisksAndThePowerOfAllOthers(long seed, boolean onlyProcessEnded) {
        SimulatedGroup group = SimulatedGroup.of(5, seed, Mutant.NONE);
        LongStream.rangeClosed(2, 5).forEach(id -> group.members.get(id).passive = true);
        group.runUntil(ELECTED_MS);
        group.dropFilter = m -> m.envelope().to() > 3;
        SimulatedMember restarted = group.members.get(2L);
        restarted.keepsUnsynced = onlyProcessEnded;
        restarted.folder.failAfter(0, true);
        group.propose(1, "kept");
        group.runUntil(ELECTED_MS + RESTART_AFTER_MS);
        assertThat("its sync failed", restarted.alive(), is(false));
        group.restart(restarted);
        runUntilAcknowledged(group);
        loseDisksAndPower(group, List.of(1L, 3L));
        group.runUntil(group.nowMs() + RECOVERED_AFTER_MS);
        FaultCell.checkSettled(group, History.Guarantee.NO_ACKNOWLEDGED_COMMAND_LOST);
        assertThat(group.history().violations(), is(Map.of()));
    }

    private static void runUntilAcknowledged(SimulatedGroup group) {
        long untilMs = group.nowMs() + ACKNOWLEDGED_WITHIN_MS;
        while (group.history().acknowledgedCount() == 0 && group.nowMs() < untilMs) {
            group.runUntil(group.nowMs() + 1);
        }
        assertThat(group.history().acknowledgedCount(), is(1));
    }

    /** Destroys the members and crashes all others at the same moment, then restarts these and replaces the lost. */
    private static void loseDisksAndPower(SimulatedGroup group, List<Long> lost) {
        lost.forEach(id -> group.destroy(group.members.get(id)));
        group.members.values().forEach(SimulatedMember::crash);
        group.dropFilter = m -> false;
        group.members.values().forEach(m -> m.passive = false);
        group.members.values().forEach(group::restart);
        lost.forEach(id -> group.replace(id, id + 10));
        group.operate();
    }
}
