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
 * The list of grants last sent to each entry, so that the next response contains only the changes.
 *
 * <p>An entry numbers its heartbeats and sends the number of the one whose response it holds. At most one leader
 * responds to a heartbeat, so the number alone identifies one list: if this leader's last response to the entry was to
 * that heartbeat, only the changes since then are sent. In every other case (a new leader, a lost or reordered
 * response, a new incarnation) the whole list is sent.
 *
 * <p>Rejected alternative: the whole list in each response, which repeats nearly unchanged data four times a second. It
 * remains the reference that the changes must add up to.
 *
 * <p>Example: the response to heartbeat 7 has 700 grants. Heartbeat 8 refers to 7, and its response has the three
 * targets whose number of busy slots changed. That response is lost; heartbeat 9 refers to 7 again and gets all 700.
 */
final class GrantLists {
    private final Map<EntryId, SentList> lastSent = new HashMap<>();

    /**
     * The list last sent to an entry.
     *
     * @param incarnation the entry's incarnation
     * @param number the number of the heartbeat that it responded to
     * @param grants the grants as of that response
     */
    private record SentList(long incarnation, long number, Map<TargetId, TargetGrant> grants) {
        boolean isHeldBy(EntryHeartbeat heartbeat) {
            return heartbeat.grantsOf() != 0
                    && heartbeat.grantsOf() == number
                    && heartbeat.incarnation() == incarnation;
        }
    }

    void clear() {
        lastSent.clear();
    }

    /** Returns the changes, or the whole list, to send to an entry that has these grants now. */
    GrantChanges next(EntryHeartbeat heartbeat, List<TargetGrant> grants) {
        Map<TargetId, TargetGrant> now = new HashMap<>();
        grants.forEach(grant -> now.put(grant.target().target(), grant));
        SentList before =
                lastSent.put(heartbeat.entry(), new SentList(heartbeat.incarnation(), heartbeat.number(), now));
        return before != null && before.isHeldBy(heartbeat) ? changes(before, grants, now) : GrantChanges.whole(grants);
    }

    private static GrantChanges changes(SentList before, List<TargetGrant> grants, Map<TargetId, TargetGrant> now) {
        List<TargetGrant> granted = new ArrayList<>();
        List<TargetLoad> loads = new ArrayList<>();
        for (TargetGrant grant : grants) {
            TargetGrant old = before.grants().get(grant.target().target());
            if (old == null || !isUnchangedExceptLoad(old, grant)) {
                granted.add(grant);
            } else if (isLoadUpdate(old, grant)) {
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

    /** Returns whether both grants are settled and equal except for the load. */
    private static boolean isUnchangedExceptLoad(TargetGrant old, TargetGrant grant) {
        return old.epoch() == grant.epoch()
                && isSettled(old)
                && isSettled(grant)
                && old.target().withBusySlots(grant.target().busySlots()).equals(grant.target());
    }

    private static boolean isSettled(TargetGrant grant) {
        return grant.previousOverMs() == 0 && grant.previousHoldMs() == 0;
    }

    private static boolean isLoadUpdate(TargetGrant old, TargetGrant grant) {
        return grant.silentMs() > Leases.TARGET_FRESH_MS
                || old.target().busySlots() != grant.target().busySlots();
    }
}
