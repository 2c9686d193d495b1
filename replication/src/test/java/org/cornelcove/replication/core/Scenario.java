package org.cornelcove.replication.core;

import java.util.List;
import java.util.Set;

/** Sequences of events that random faults rarely produce. */
enum Scenario {
    /** An old term's entry reaches a majority under a new leader, then a member with a newer last term restarts. */
    OLD_TERM_REACHES_MAJORITY {
        @Override
        void run(SimulatedGroup group) {
            elect(group, 1, Set.of());
            group.dropFilter = m -> List.of(3L, 4L, 5L).contains(m.envelope().to());
            group.propose(1, "old");
            group.runUntil(group.nowMs() + 100);
            group.members.get(1L).crash();
            elect(group, 5, Set.of(1L, 2L));
            group.members.get(5L).crash();
            group.restart(group.members.get(1L));
            elect(group, 1, Set.of(4L, 5L));
            group.members.get(1L).crash();
            group.restart(group.members.get(5L));
            elect(group, 5, Set.of(1L));
            group.dropFilter = m -> false;
            group.restart(group.members.get(1L));
            group.runUntil(group.nowMs() + 2000);
        }

        /** Elects a member with others partitioned; drops the entries of its term except at the first and last call. */
        private void elect(SimulatedGroup group, long id, Set<Long> cutOff) {
            group.members.values().forEach(m -> m.passive = m.id != id);
            boolean first = group.nowMs() == 0;
            boolean last = cutOff.equals(Set.of(1L));
            group.dropFilter = m -> cutOff.contains(m.envelope().to())
                    || !first
                            && !last
                            && m.envelope().body() instanceof Message.AppendRequest a
                            && a.entries().stream()
                                    .anyMatch(e -> e.term() == m.envelope().term());
            group.runUntil(group.nowMs() + 2000);
        }
    },
    /** A member without contact to the leader starts an election while the third member is still in contact. */
    READ_AFTER_ELECTION {
        @Override
        void run(SimulatedGroup group) {
            electMemberOne(group);
            group.members.get(2L).passive = false;
            group.dropFilter = m -> m.envelope().from() + m.envelope().to() == 3;
            group.observer = (step, member) -> {
                if (step == Step.VOTE_GIVEN && member.id == 3) {
                    group.network.cutFrom.add(1L);
                    group.network.cutTo.add(1L);
                } else if (step == Step.ELECTED && member.id == 2) {
                    group.later(5, () -> group.propose(2, "new"));
                    group.later(40, () -> group.read(1));
                }
            };
            group.runUntil(4000);
        }
    },
    /** A leader and two learners that hold the whole log are partitioned from the other voters. */
    LEADER_ALONE_WITH_LEARNERS {
        @Override
        void run(SimulatedGroup group) {
            electMemberOne(group);
            group.dropFilter = m -> m.envelope().to() > 3;
            for (long id = 4; id <= 5; id++) {
                long added = id;
                group.add(added).start(Membership.EMPTY);
                group.members.get(1L).input(c -> c.addMember(-added, added, "" + added));
                group.runUntil(group.nowMs() + 300);
            }
            group.dropFilter = m -> m.envelope().to() != 1
                            && m.envelope().to() <= 3
                            && m.envelope().from() == 1
                    || m.envelope().to() == 1 && m.envelope().from() <= 3;
            group.runUntil(group.nowMs() + 300);
            group.propose(1, "minority");
            group.runUntil(group.nowMs() + 300);
            group.members.get(2L).passive = false;
            group.runUntil(group.nowMs() + 2500);
            group.propose(2, "majority");
            group.runUntil(group.nowMs() + 500);
        }
    },
    /** A member is destroyed and replaced, and another is destroyed once the replacement is reported as done. */
    LOSS_RIGHT_AFTER_REPAIR {
        @Override
        void run(SimulatedGroup group) {
            group.operate();
            group.later(1500, () -> FaultCell.load(group, 0));
            group.later(2500, () -> {
                group.destroy(group.members.get(3L));
                group.replace(3, 4);
            });
            boolean[] secondDestroyed = {false};
            group.observer = (step, member) -> {
                if (!secondDestroyed[0] && group.nowMs() > 2500 && group.operatorTasks.isEmpty()) {
                    secondDestroyed[0] = true;
                    group.later(0, () -> group.destroy(group.members.get(group.nowMs() % 2 + 1)));
                }
            };
            group.runUntil(8000);
        }
    },
    /** The member with the only other copy of an entry loses its disk and restarts under its id. */
    LOST_DISK_SAME_ID {
        @Override
        void run(SimulatedGroup group) {
            electMemberOne(group);
            group.dropFilter = m -> m.envelope().to() == 3;
            group.propose(1, "kept");
            group.runUntil(2200);
            group.members.get(1L).crash();
            group.destroy(group.members.get(2L));
            group.dropFilter = m -> false;
            group.restart(group.add(2));
            group.members.get(3L).passive = false;
            group.runUntil(5000);
            group.restart(group.members.get(1L));
            group.runUntil(8000);
        }
    },
    /** The member with the only other copy of an entry is restored from an older copy while the leader runs. */
    RESTORED_FROM_COPY {
        @Override
        void run(SimulatedGroup group) {
            SimulatedMember restored = group.members.get(2L);
            electMemberOne(group);
            MemoryFolder copy = restored.folder.copy();
            group.dropFilter = m -> m.envelope().to() == 3;
            group.propose(1, "kept");
            group.runUntil(2200);
            restored.crash();
            restored.folder.restoreFrom(copy);
            group.restart(restored);
            group.runUntil(2600);
            group.members.get(1L).crash();
            group.dropFilter = m -> false;
            group.members.values().forEach(m -> m.passive = false);
            group.runUntil(5000);
            group.restart(group.members.get(1L));
            group.runUntil(8000);
        }
    },
    /** All members lose power while their disks are slow. */
    POWER_LOST {
        @Override
        void run(SimulatedGroup group) {
            group.maxDiskMs = 200;
            group.later(1500, () -> FaultCell.load(group, 0));
            group.later(3000, () -> Fault.ALL_KILLED.inject(group, group.members.get(1L)));
            group.later(4000, () -> Fault.heal(group));
            group.runUntil(9000);
        }
    };

    abstract void run(SimulatedGroup group);

    /** Elects the first of three members; the others start no election while {@code passive}. */
    private static void electMemberOne(SimulatedGroup group) {
        group.members.get(2L).passive = true;
        group.members.get(3L).passive = true;
        group.runUntil(2000);
    }

    History historyOf(Mutant mutant, long seed) {
        SimulatedGroup group = SimulatedGroup.of(this == OLD_TERM_REACHES_MAJORITY ? 5 : 3, seed, mutant);
        group.maxAppendBytes = 1;
        run(group);
        group.dropFilter = m -> false;
        group.observer = (step, member) -> {};
        group.network.cutFrom.clear();
        group.network.cutTo.clear();
        group.members.values().forEach(m -> m.passive = false);
        group.maxDiskMs = 4;
        group.runUntil(group.nowMs() + 3000);
        FaultCell.checkSettled(
                group,
                this == LOSS_RIGHT_AFTER_REPAIR
                        ? History.Guarantee.REPAIRED_SURVIVES_SECOND_LOSS
                        : History.Guarantee.NO_ACKNOWLEDGED_COMMAND_LOST);
        return group.history();
    }
}
