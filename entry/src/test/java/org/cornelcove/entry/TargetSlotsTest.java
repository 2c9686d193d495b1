package org.cornelcove.entry;

import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Slots of a target of which one run was given up at 100, and that has other runs under way. */
class TargetSlotsTest {
    private static final int TOTAL = 8;
    private static final long GIVEN_UP_NS = 100;

    @ParameterizedTest
    @CsvSource({
        // others, busy slots told, heard at, free afterwards, whether the run is told over
        "0, 0, 101, 8, true",
        "0, 1, 101, 7, false",
        "2, 2, 101, 6, true",
        "2, 3, 101, 5, false",
        // the run may have been started after what was heard before it was given up
        "0, 0, 99, 7, false",
        "2, 2, 50, 5, false",
    })
    void anAnnouncementFreesWhatWasGivenUpBeforeIt(int others, int busy, long heardNs, int free, boolean over) {
        TargetSlots slots = new TargetSlots(TOTAL);
        for (int i = 0; i < others; i++) {
            slots.tryTake(TOTAL);
        }
        slots.announced(TOTAL, others, 0);
        slots.tryTake(TOTAL);
        CompletableFuture<Void> ended = slots.abandon(GIVEN_UP_NS);
        slots.announced(TOTAL, busy, heardNs);
        assertThat(slots.free(), is(free));
        assertThat(ended.isDone(), is(over));
    }

    @ParameterizedTest
    @CsvSource({"150, 0, 1", "150, 1, 2", "250, 0, 0", "250, 1, 1", "250, 2, 2"})
    void onlyRunsGivenUpBeforeAreCounted(long heardNs, int busy, int lingering) {
        TargetSlots slots = new TargetSlots(TOTAL);
        slots.tryTake(TOTAL);
        slots.tryTake(TOTAL);
        slots.abandon(GIVEN_UP_NS);
        slots.abandon(2 * GIVEN_UP_NS);
        assertThat(slots.announced(TOTAL, busy, heardNs), is(lingering));
    }
}
