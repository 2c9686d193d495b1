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

/** The events that callers and state machines observed in a group, and the checks of its guarantees. */
final class History {
    /** The guarantees of a group. */
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
    private final Map<Long, Long> requiredIndexByRead = new HashMap<>();
    private long lastAcknowledgedIndex;
    private int readCount;

    void addViolation(Guarantee guarantee, String what) {
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

    void recordLeader(long term, long member) {
        Long other = leaderOfTerm.putIfAbsent(term, member);
        if (other != null && other != member) {
            addViolation(Guarantee.ONE_LEADER_PER_TERM, "term " + term + ": " + other + " and " + member);
        }
    }

    void recordApplied(long member, long index, String command) {
        String other = commandAt.putIfAbsent(index, command);
        if (other != null && !other.equals(command)) {
            addViolation(
                    Guarantee.SAME_COMMANDS_EVERYWHERE,
                    "member " + member + " index " + index + ": " + command + ", elsewhere " + other);
        }
    }

    void recordAcknowledged(String command, long index) {
        acknowledged.put(command, index);
        lastAcknowledgedIndex = Math.max(lastAcknowledgedIndex, index);
    }

    void recordRefused(String command) {
        refused.add(command);
    }

    void readStarted(long token) {
        requiredIndexByRead.put(token, lastAcknowledgedIndex);
    }

    void readCompleted(long token, long index) {
        readCount++;
        long required = requiredIndexByRead.remove(token);
        if (index < required) {
            addViolation(Guarantee.READS_SEE_ACKNOWLEDGED, "read up to " + index + ", acknowledged before " + required);
        }
    }

    /** Checks a member's state at the end of a run. */
    void checkFinalState(long member, List<String> state, Guarantee lossGuarantee) {
        Set<String> seen = new HashSet<>(state);
        for (String command : acknowledged.keySet()) {
            if (!seen.contains(command)) {
                addViolation(lossGuarantee, "member " + member + " lacks " + command);
            }
        }
        for (String command : seen) {
            if (Collections.frequency(state, command) > 1) {
                addViolation(Guarantee.AT_MOST_ONCE, "member " + member + " ran twice " + command);
            }
            if (refused.contains(command)) {
                addViolation(Guarantee.REFUSED_IS_NOT_RUN, "member " + member + " ran " + command);
            }
        }
    }
}
