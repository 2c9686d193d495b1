package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What callers, operators and state machines saw of a group, and what must hold of it. */
final class History {
    /** What must always hold. */
    enum Guarantee {
        ONE_LEADER_PER_TERM,
        SAME_COMMANDS_EVERYWHERE,
        NO_ACKNOWLEDGED_COMMAND_LOST,
        AT_MOST_ONCE,
        REFUSED_IS_NOT_RUN,
        READS_SEE_ACKNOWLEDGED,
        REPAIRED_SURVIVES_SECOND_LOSS,
        SERVES_AGAIN
    }

    private final Map<Guarantee, List<String>> violations = new TreeMap<>();
    private final Map<Long, Long> leaderOfTerm = new HashMap<>();
    private final Map<Long, String> commandAt = new HashMap<>();
    private final Map<String, Long> acknowledged = new LinkedHashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<Long, Long> wantedByRead = new HashMap<>();
    private long lastAcknowledgedIndex;
    private int readCount;

    void violated(Guarantee guarantee, String what) {
        violations.computeIfAbsent(guarantee, g -> new ArrayList<>()).add(what);
    }

    Map<Guarantee, List<String>> violations() {
        return violations;
    }

    int acknowledgedCount() {
        return acknowledged.size();
    }

    int readCount() {
        return readCount;
    }

    void leads(long term, long member) {
        Long other = leaderOfTerm.putIfAbsent(term, member);
        if (other != null && other != member) {
            violated(Guarantee.ONE_LEADER_PER_TERM, "term " + term + ": " + other + " and " + member);
        }
    }

    void applied(long member, long index, String command) {
        String other = commandAt.putIfAbsent(index, command);
        if (other != null && !other.equals(command)) {
            violated(
                    Guarantee.SAME_COMMANDS_EVERYWHERE,
                    "member " + member + " index " + index + ": " + command + ", elsewhere " + other);
        }
    }

    void acknowledged(String command, long index) {
        acknowledged.put(command, index);
        lastAcknowledgedIndex = Math.max(lastAcknowledgedIndex, index);
    }

    void refused(String command) {
        refused.add(command);
    }

    void readBegins(long token) {
        wantedByRead.put(token, lastAcknowledgedIndex);
    }

    void readEnds(long token, long index) {
        readCount++;
        long wanted = wantedByRead.remove(token);
        if (index < wanted) {
            violated(Guarantee.READS_SEE_ACKNOWLEDGED, "read up to " + index + ", acknowledged before " + wanted);
        }
    }

    /** Checks the state that a member has at the end. */
    void ends(long member, List<String> state, Guarantee lossBreaks) {
        Set<String> seen = new HashSet<>(state);
        for (String command : acknowledged.keySet()) {
            if (!seen.contains(command)) {
                violated(lossBreaks, "member " + member + " lacks " + command);
            }
        }
        for (String command : seen) {
            if (Collections.frequency(state, command) > 1) {
                violated(Guarantee.AT_MOST_ONCE, "member " + member + " ran twice " + command);
            }
            if (refused.contains(command)) {
                violated(Guarantee.REFUSED_IS_NOT_RUN, "member " + member + " ran " + command);
            }
        }
    }
}
