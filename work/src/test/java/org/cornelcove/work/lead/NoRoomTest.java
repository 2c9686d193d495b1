package org.cornelcove.work.lead;

import org.cornelcove.work.Steps;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Load pattern: hundreds of similar steps wait, and each placement pass inspected each worker for each of them. */
class NoRoomTest {
    @ParameterizedTest
    @CsvSource({"f, 4000, true", "f, 5000, true", "f, 3000, false", "g, 4000, false"})
    void coversTasksOfTheSameImageThatNeedAtLeastAsMuch(String image, int cpuMillis, boolean covered) {
        NoRoom noRoom = new NoRoom();
        noRoom.add("pool", Steps.fill("f", 4000), true);
        assertThat(noRoom.covers("pool", Steps.fill(image, cpuMillis), true), is(covered));
    }

    @Test
    void aTaskThatCannotWaitOrIsInAnotherPoolIsNotCovered() {
        NoRoom noRoom = new NoRoom();
        noRoom.add("pool", Steps.fill("f", 4000), true);
        assertThat(noRoom.covers("pool", Steps.fill("f", 4000), false), is(false));
        assertThat(noRoom.covers("other", Steps.fill("f", 4000), true), is(false));
    }

    @Test
    void aStepWithALimitPerWorkerCoversNoOtherStep() {
        NoRoom noRoom = new NoRoom();
        noRoom.add("pool", Steps.needing("", "", 1), true);
        assertThat(noRoom.covers("pool", Steps.needing("", "", 1), true), is(false));
        assertThat(noRoom.covers("pool", Steps.plain(1), true), is(false));
    }
}
