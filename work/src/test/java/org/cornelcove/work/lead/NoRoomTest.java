package org.cornelcove.work.lead;

import org.cornelcove.work.Steps;
import org.cornelcove.work.plan.Placement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** The load pattern: hundreds of like steps wait, and each pass over them looked at each worker for each of them. */
class NoRoomTest {
    @ParameterizedTest
    @CsvSource({"f, 4000, true", "f, 5000, true", "f, 3000, false", "g, 4000, false"})
    void coversWhatAsksForAtLeastAsMuch(String image, int cpuMillis, boolean covered) {
        NoRoom noRoom = new NoRoom();
        noRoom.add("pool", Steps.fill("f", 4000), Placement.FREELY);
        assertThat(noRoom.covers("pool", Steps.fill(image, cpuMillis), Placement.FREELY), is(covered));
    }

    @Test
    void aLessParticularTaskOrAnotherPoolIsNotCovered() {
        NoRoom noRoom = new NoRoom();
        noRoom.add("pool", Steps.fill("f", 4000), Placement.FREELY);
        assertThat(noRoom.covers("pool", Steps.fill("f", 4000), Placement.ANYWHERE), is(false));
        assertThat(noRoom.covers("other", Steps.fill("f", 4000), Placement.FREELY), is(false));
    }

    @Test
    void aStepThatIsSpreadSaysNothingOfOthers() {
        NoRoom noRoom = new NoRoom();
        noRoom.add("pool", Steps.needing("", "", 1), Placement.FREELY);
        assertThat(noRoom.covers("pool", Steps.needing("", "", 1), Placement.FREELY), is(false));
        assertThat(noRoom.covers("pool", Steps.plain(1), Placement.FREELY), is(false));
    }
}
