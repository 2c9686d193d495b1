package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.GrantChanges;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.model.message.TargetLoad;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** The changes of its list of grants that an entry is sent. */
class GrantListsTest {
    private static final int TARGETS = 6;
    private static final int ROUNDS = 2_000;
    private static final long OLD_MS = Leases.TARGET_FRESH_MS + 1;

    private final GrantLists lists = new GrantLists();

    private static TargetGrant grant(String name, long epoch, long silentMs, int busy, long holdMs) {
        TargetAnnouncement announcement =
                new TargetAnnouncement(TargetId.of(name), "booking", "127.0.0.1:1", "z", 8, 60, busy, false);
        return new TargetGrant(announcement, epoch, silentMs, 0, holdMs);
    }

    private static EntryHeartbeat heartbeat(long incarnation, long number, long grantsOf) {
        return new EntryHeartbeat(EntryId.of("e"), incarnation, "z", "r", "h", 0, false, List.of(), number, grantsOf);
    }

    @ParameterizedTest
    @CsvSource({
        // the entry holds the list of: the last response, none, an earlier one, an earlier incarnation
        "1, 5, 5, false",
        "1, 5, 0, true",
        "1, 5, 4, true",
        "2, 5, 5, true"
    })
    void onlyHolderOfLastResponseReceivesChanges(long incarnation, long lastNumber, long held, boolean whole) {
        lists.next(heartbeat(1, lastNumber, 0), List.of(grant("t", 1, 0, 3, 0)));
        GrantChanges changes =
                lists.next(heartbeat(incarnation, lastNumber + 1, held), List.of(grant("t", 1, 0, 3, 0)));
        assertThat(changes.isWhole(), is(whole));
        assertThat(changes.granted().size(), is(whole ? 1 : 0));
    }

    @ParameterizedTest
    @CsvSource({
        // epoch, silentMs, busySlots, previousHoldMs: number of new grants, number of load updates
        "1, 100, 3, 0, 0, 0",
        "1, 100, 4, 0, 0, 1",
        "1, 1501, 3, 0, 0, 1",
        "2, 100, 3, 0, 1, 0",
        "1, 100, 3, 50, 1, 0"
    })
    void changedGrantsAreSent(long epoch, long silentMs, int busy, long holdMs, int granted, int loads) {
        lists.next(heartbeat(1, 1, 0), List.of(grant("t", 1, 0, 3, 0), grant("gone", 1, 0, 3, 0)));
        GrantChanges changes = lists.next(heartbeat(1, 2, 1), List.of(grant("t", epoch, silentMs, busy, holdMs)));
        assertThat(changes.granted().size(), is(granted));
        assertThat(changes.loads().size(), is(loads));
        assertThat(changes.withdrawn(), is(List.of(TargetId.of("gone"))));
    }

    /** Applying the changes gives the same list as sending the whole list, even if responses are lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void appliedChangesEqualWholeList(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<TargetId, TargetGrant> held = new TreeMap<>();
        long heldNumber = 0;
        for (long number = 1; number <= ROUNDS; number++) {
            List<TargetGrant> current = randomGrants(random);
            GrantChanges changes = lists.next(heartbeat(1, number, heldNumber), current);
            if (random.nextInt(4) > 0) {
                apply(changes, held);
                heldNumber = number;
                assertThat(withoutAge(List.copyOf(held.values())), is(withoutAge(current)));
            }
        }
    }

    private static List<TargetGrant> randomGrants(SplittableRandom random) {
        List<TargetGrant> grants = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            if (random.nextInt(5) > 0) {
                long silentMs = random.nextBoolean() ? 0 : OLD_MS;
                grants.add(grant("t" + i, 1 + random.nextInt(2), silentMs, random.nextInt(2), random.nextInt(2)));
            }
        }
        return grants;
    }

    private static void apply(GrantChanges changes, Map<TargetId, TargetGrant> held) {
        if (changes.isWhole()) {
            held.clear();
        }
        changes.granted().forEach(grant -> held.put(grant.target().target(), grant));
        for (TargetLoad load : changes.loads()) {
            held.computeIfPresent(load.target(), (target, old) -> old.withLoad(load.silentMs(), load.busySlots()));
        }
        changes.withdrawn().forEach(held::remove);
    }

    private static List<TargetGrant> withoutAge(List<TargetGrant> grants) {
        return grants.stream()
                .map(grant -> grant.withLoad(0, grant.target().busySlots()))
                .toList();
    }
}
