package org.cornelcove.replication.core;

/** A fault to inject, at the member at which the step occurs unless its name says otherwise. */
enum Fault {
    KILLED,
    ALL_KILLED,
    LEADER_KILLED,
    FROZEN,
    LEADER_FROZEN,
    CUT_INBOUND,
    CUT_OUTBOUND,
    CUT_BOTH_WAYS,
    LEADER_CUT,
    SLOW_LINKS,
    MESSAGES_DUPLICATED,
    MESSAGES_REORDERED,
    MESSAGES_LOST,
    FSYNC_FAILS,
    DISK_FULL,
    KILLED_WHILE_WRITING,
    DISK_LOST,
    DISK_LOST_SAME_ID,
    LEADERSHIP_MOVED;

    private static final long NEW_ID = 9;

    void inject(SimulatedGroup group, SimulatedMember actor) {
        SimulatedMember leader = group.members.values().stream()
                .filter(SimulatedMember::leads)
                .findFirst()
                .orElse(actor);
        switch (this) {
            case KILLED -> actor.crash();
            case ALL_KILLED -> group.members.values().forEach(m -> {
                if (m.alive()) {
                    m.crash();
                }
            });
            case LEADER_KILLED -> leader.crash();
            case FROZEN -> {
                actor.frozen = true;
            }
            case LEADER_FROZEN -> {
                leader.frozen = true;
            }
            case CUT_INBOUND -> group.network.cutTo.add(actor.id);
            case CUT_OUTBOUND -> group.network.cutFrom.add(actor.id);
            case CUT_BOTH_WAYS -> cut(group, actor);
            case LEADER_CUT -> cut(group, leader);
            case SLOW_LINKS -> group.network.slow.add(actor.id);
            case MESSAGES_DUPLICATED -> {
                group.network.duplicates = true;
            }
            case MESSAGES_REORDERED -> {
                group.network.reorders = true;
            }
            case MESSAGES_LOST -> {
                group.network.lossPercent = 20;
            }
            case FSYNC_FAILS -> actor.folder.failAfter(group.random().nextInt(3), true);
            case DISK_FULL -> actor.folder.failAfter(0, false);
            case KILLED_WHILE_WRITING -> actor.folder.failAfter(
                    1 + group.random().nextInt(8), false);
            case DISK_LOST -> {
                group.destroy(actor);
                group.replace(actor.id, NEW_ID);
            }
            case DISK_LOST_SAME_ID -> {
                group.destroy(actor);
                group.restart(group.add(actor.id));
                group.replace(actor.id, NEW_ID);
            }
            case LEADERSHIP_MOVED -> leader.transfer(0);
            default -> throw new IllegalStateException();
        }
    }

    boolean losesDisk() {
        return this == DISK_LOST || this == DISK_LOST_SAME_ID;
    }

    private static void cut(SimulatedGroup group, SimulatedMember member) {
        group.network.cutTo.add(member.id);
        group.network.cutFrom.add(member.id);
    }

    /** Repairs the network, unfreezes the frozen members and restarts the stopped ones. */
    static void heal(SimulatedGroup group) {
        group.network.cutTo.clear();
        group.network.cutFrom.clear();
        group.network.slow.clear();
        group.network.duplicates = false;
        group.network.reorders = false;
        group.network.lossPercent = 0;
        group.members.values().stream().filter(m -> m.frozen).forEach(SimulatedMember::thaw);
        group.members.values().forEach(group::restart);
    }
}
