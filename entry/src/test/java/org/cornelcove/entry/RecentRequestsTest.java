package org.cornelcove.entry;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RecentRequestsTest {
    private static final int CAPACITY = 4_096;

    private final RecentRequests recent = new RecentRequests();

    @ParameterizedTest
    @ValueSource(ints = {0, 1, CAPACITY - 2, CAPACITY - 1})
    void ofTwoRequestsWithOneIdTheNewerIsExplained(int between) {
        add("r", "old");
        for (int i = 0; i < between; i++) {
            add("other-" + i, "x");
        }
        add("r", "new");
        assertThat(recent.explain("r"), is(List.of("+0 us new ")));
    }

    @Test
    void theOldestIsOverwritten() {
        add("r", "old");
        for (int i = 0; i < CAPACITY; i++) {
            add("other-" + i, "x");
        }
        assertThat(recent.explain("r"), is(List.of()));
    }

    private void add(String id, String what) {
        RequestTrace trace = new RequestTrace(id, 0);
        trace.add(0, what, "");
        recent.add(trace);
    }
}
