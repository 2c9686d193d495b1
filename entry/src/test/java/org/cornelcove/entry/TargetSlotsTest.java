package org.cornelcove.entry;

import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Tests the slots of a target with one run abandoned at 100 and other active runs. */
class TargetSlotsTest {
    private static final int TOTAL = 8;
    private static final long ABANDONED_NS = 100;

    @ParameterizedTest
    @CsvSource({
        // other runs, busy slots announced, received at, free afterwards, whether the run is reported finished
        "0, 0, 101, 8, true",
        "0, 1, 101, 7, false",
        "2, 2, 101, 6, true",
        "2, 3, 101, 5, false",
        // the run may have been started after an announcement received before it was abandoned
        "0, 0, 99, 7, false",
        "2, 2, 50, 5, false",
    })
    void anAnnouncementFreesRunsAbandonedBeforeIt(int others, int busy, long heardNs, int free, boolean finished) {
        TargetSlots slots = new TargetSlots(TOTAL);
        for (int i = 0; i < others; i++) {
            slots.tryTake(TOTAL);
        }
        slots.applyAnnouncement(TOTAL, others, 0);
        slots.tryTake(TOTAL);
        CompletableFuture<Void> ended = slots.abandon(ABANDONED_NS);
        slots.applyAnnouncement(TOTAL, busy, heardNs);
        assertThat(slots.free(), is(free));
        assertThat(ended.isDone(), is(finished));
    }

    @ParameterizedTest
    @CsvSource({"150, 0, 1", "150, 1, 2", "250, 0, 0", "250, 1, 1", "250, 2, 2"})
    void onlyRunsAbandonedBeforeTheAnnouncementAreCounted(long heardNs, int busy, int orphaned) {
        TargetSlots slots = new TargetSlots(TOTAL);
        slots.tryTake(TOTAL);
        slots.tryTake(TOTAL);
        slots.abandon(ABANDONED_NS);
        slots.abandon(2 * ABANDONED_NS);
        assertThat(slots.applyAnnouncement(TOTAL, busy, heardNs), is(orphaned));
    }
}
