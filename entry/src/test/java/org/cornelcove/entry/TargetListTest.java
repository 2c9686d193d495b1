package org.cornelcove.entry;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.GrantChanges;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.model.message.TargetLoad;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

/** Tests a list from the answer to heartbeat 5, with two targets whose announcements were received at instant 0. */
class TargetListTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long SILENCE_NS = 3_000 * NANOS_PER_MS;
    private static final long LATER_NS = 4_000 * NANOS_PER_MS;
    private static final long FRESH_MS = 1_500;

    private TargetClient client;
    private TargetList list;
    private OwnedTarget first;

    @BeforeEach
    void hold() throws IOException {
        client = TargetClient.open(1_000, 1);
        list = TargetList.empty(client);
        first = list.apply(GrantChanges.whole(List.of(grant("a", 3), grant("b", 3))), 5, 0, 0)
                .get("booking")
                .get(0);
    }

    @AfterEach
    void close() throws IOException {
        list.close();
        client.close();
    }

    private static TargetGrant grant(String name, int busy) {
        return new TargetGrant(
                new TargetAnnouncement(TargetId.of(name), "booking", "127.0.0.1:1", "z", 8, 60, busy, false),
                1,
                0,
                0,
                0);
    }

    private static GrantChanges changes(long since, List<TargetLoad> loads, List<TargetId> withdrawn) {
        return new GrantChanges(since, List.of(), loads, withdrawn, FRESH_MS);
    }

    @ParameterizedTest
    @CsvSource({
        // an outdated answer, the answer held, changes to it, changes to another list, a complete list
        "4, 0, false",
        "5, 0, false",
        "6, 5, true",
        "6, 4, false",
        "7, 0, true"
    })
    void changesToAnotherListAreRejected(long answered, long since, boolean applicable) {
        GrantChanges changes = since == 0 ? GrantChanges.whole(List.of()) : changes(since, List.of(), List.of());
        assertThat(list.isApplicable(changes, answered), is(applicable));
    }

    @ParameterizedTest
    @CsvSource({
        // the load in the answer: none, one from a recent announcement, one from an old announcement
        "-1, true",
        "100, true",
        "3500, false"
    })
    void anUnmentionedTargetCountsAsRecentlyHeard(long silentMs, boolean available) {
        List<TargetLoad> loads = silentMs < 0 ? List.of() : List.of(new TargetLoad(TargetId.of("a"), silentMs, 4));
        Map<String, List<OwnedTarget>> now =
                list.apply(changes(5, loads, List.of(TargetId.of("b"))), 6, LATER_NS, LATER_NS);
        assertThat(now.get("booking").size(), is(1));
        assertThat(now.get("booking").get(0), sameInstance(first));
        assertThat(first.isAvailable(LATER_NS, SILENCE_NS), is(available));
        assertThat(list.number(), is(6L));
    }
}
