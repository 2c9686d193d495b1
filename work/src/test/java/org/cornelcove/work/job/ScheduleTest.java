package org.cornelcove.work.job;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ScheduleTest {
    /** Guards against an occurrence that is due at once because its time exceeds the range of a number. */
    @ParameterizedTest
    @CsvSource({
        "1000,500,0,1000",
        "1000,500,3,2500",
        "1000,0,3,1000",
        "9223372036854775807,1,1,9223372036854775807",
        "5,9223372036854775807,2,9223372036854775807",
        "-9223372036854775808,9223372036854775807,1,-1"
    })
    void anOccurrenceIsDueAtItsTime(long firstAtMs, long intervalMs, int occurrence, long dueMs) {
        assertThat(new Schedule(firstAtMs, intervalMs, 10).dueMs(occurrence), is(dueMs));
    }
}
