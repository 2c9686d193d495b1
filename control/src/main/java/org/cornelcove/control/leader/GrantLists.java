package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.GrantChanges;
import org.cornelcove.model.message.TargetGrant;
import org.cornelcove.model.message.TargetLoad;

/**
 * The list of grants that each entry was last told, so that the next answer tells only what changed.
 *
 * <p>An entry numbers its heartbeats and names the one whose answer it holds. A heartbeat is answered by one leader at
 * most, so the number alone names one list: if this leader's last answer to the entry was to that heartbeat, changes go
 * on from it. In every other case, a new leader, a lost or overtaken answer, a new start, the whole list is sent.
 *
 * <p>The whole list in each answer was the alternative, and it is what a change is measured against: nearly all of it
 * repeats what the entry knows, four times a second.
 *
 * <p>Example: heartbeat 7 is answered with 700 grants. Heartbeat 8 names 7 and is answered with the three targets whose
 * number of busy slots changed. The answer is lost; heartbeat 9 names 7 again and is answered with all 700.
 */
final class GrantLists {
    private final Map<EntryId, Told> told = new HashMap<>();

    /**
     * What an entry was told.
     *
     * @param incarnation the entry's start
     * @param number the heartbeat that was answered
     * @param grants the grants as of that answer
     */
    private record Told(long incarnation, long number, Map<TargetId, TargetGrant> grants) {
        boolean isHeldBy(EntryHeartbeat heartbeat) {
            return heartbeat.grantsOf() != 0
                    && heartbeat.grantsOf() == number
                    && heartbeat.incarnation() == incarnation;
        }
    }

    void clear() {
        told.clear();
    }

    /** Returns what to answer to an entry that owns these targets now. */
    GrantChanges next(EntryHeartbeat heartbeat, List<TargetGrant> grants) {
        Map<TargetId, TargetGrant> now = new HashMap<>();
        grants.forEach(grant -> now.put(grant.target().target(), grant));
        Told before = told.put(heartbeat.entry(), new Told(heartbeat.incarnation(), heartbeat.number(), now));
        return before != null && before.isHeldBy(heartbeat) ? changes(before, grants, now) : GrantChanges.whole(grants);
    }

    private static GrantChanges changes(Told before, List<TargetGrant> grants, Map<TargetId, TargetGrant> now) {
        List<TargetGrant> granted = new ArrayList<>();
        List<TargetLoad> loads = new ArrayList<>();
        for (TargetGrant grant : grants) {
            TargetGrant old = before.grants().get(grant.target().target());
            if (old == null || !isAsBefore(old, grant)) {
                granted.add(grant);
            } else if (isNews(old, grant)) {
                loads.add(new TargetLoad(
                        grant.target().target(),
                        grant.silentMs(),
                        grant.target().busySlots()));
            }
        }
        List<TargetId> withdrawn = new ArrayList<>(before.grants().keySet());
        withdrawn.removeAll(now.keySet());
        return new GrantChanges(before.number(), granted, loads, withdrawn, Leases.TARGET_FRESH_MS);
    }

    /** Tells whether both say the same but for the load, and nothing of a previous owner matters any more. */
    private static boolean isAsBefore(TargetGrant old, TargetGrant grant) {
        return old.epoch() == grant.epoch()
                && isSettled(old)
                && isSettled(grant)
                && old.target().withBusySlots(grant.target().busySlots()).equals(grant.target());
    }

    private static boolean isSettled(TargetGrant grant) {
        return grant.previousOverMs() == 0 && grant.previousHoldMs() == 0;
    }

    private static boolean isNews(TargetGrant old, TargetGrant grant) {
        return grant.silentMs() > Leases.TARGET_FRESH_MS
                || old.target().busySlots() != grant.target().busySlots();
    }
}
