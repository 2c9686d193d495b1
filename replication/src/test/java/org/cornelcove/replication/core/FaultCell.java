package org.cornelcove.replication.core;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One cell of the fault matrix. A group under load replaces its first member by a fourth and transfers leadership; the
 * fault is injected at the step and repaired, and the guarantees are checked after the group has had time to recover.
 *
 * @param fault the fault to inject
 * @param second a fault to inject up to {@code SECOND_AFTER_MS} later at a random running member
 * @param step the step at which the fault is injected
 * @param seed selects the random choices and the occurrence of the step
 */
record FaultCell(Fault fault, Optional<Fault> second, Step step, int seed) {
    private static final long LOAD_BEGINS_MS = 1500;
    private static final long LOAD_ENDS_MS = 6000;
    private static final long HEALED_MS = 6500;
    private static final long SETTLED_MS = 10_000;
    private static final long OUTAGE_MS = 1500;
    private static final long SECOND_AFTER_MS = 800;

    /** The history of a cell and whether its fault was injected. */
    record Outcome(History history, boolean hit) {}

    Outcome run(Mutant mutant) {
        SimulatedGroup group = SimulatedGroup.of(3, seed * 7919L + step.ordinal(), mutant);
        group.maxAppendBytes = seed == 1 ? 1 : 1 << 20;
        group.maxDiskMs = seed == 2 ? 40 : 4;
        boolean[] hit = {false};
        int[] occurrences = {0};
        group.observer = (at, member) -> {
            if (hit[0] || at != step || group.nowMs() < LOAD_BEGINS_MS || !member.alive()) {
                return;
            }
            occurrences[0]++;
            if (occurrences[0] == 1 + step.stride * seed) {
                hit[0] = true;
                group.later(0, () -> inject(group, member));
            }
        };
        group.operate();
        group.later(LOAD_BEGINS_MS, () -> load(group, 0));
        group.later(2200, () -> {
            group.operatorTasks.add((core, token) -> core.addMember(token, 4, "4"));
            group.operatorTasks.add((core, token) -> core.removeMember(token, 1));
            group.add(4).start(Membership.EMPTY);
        });
        group.later(3500, () -> group.members.values().stream()
                .filter(SimulatedMember::leads)
                .findFirst()
                .ifPresent(m -> m.transfer(0)));
        group.runUntil(HEALED_MS);
        Fault.heal(group);
        group.runUntil(SETTLED_MS);
        checkSettled(group, History.Guarantee.NO_ACKNOWLEDGED_COMMAND_LOST);
        return new Outcome(group.history(), hit[0]);
    }

    private void inject(SimulatedGroup group, SimulatedMember member) {
        if (member.alive()) {
            fault.inject(group, member);
            second.ifPresent(f -> group.later(group.random().nextLong(SECOND_AFTER_MS), () -> injectAny(group, f)));
            group.later(OUTAGE_MS, () -> Fault.heal(group));
        }
    }

    private static void injectAny(SimulatedGroup group, Fault fault) {
        List<SimulatedMember> alive =
                group.members.values().stream().filter(SimulatedMember::alive).toList();
        if (!alive.isEmpty()) {
            fault.inject(group, alive.get(group.random().nextInt(alive.size())));
        }
    }

    static void load(SimulatedGroup group, int number) {
        if (group.nowMs() < LOAD_ENDS_MS) {
            group.propose("c" + number);
            if (number % 2 == 0) {
                group.read();
            }
            group.later(10, () -> load(group, number + 1));
        }
    }

    static void checkSettled(SimulatedGroup group, History.Guarantee lossGuarantee) {
        int before = group.history().acknowledgedCount();
        group.propose("last");
        group.runUntil(group.nowMs() + 1000);
        if (group.history().acknowledgedCount() == before) {
            group.history()
                    .addViolation(
                            lossGuarantee == History.Guarantee.REPAIRED_SURVIVES_SECOND_LOSS
                                    ? lossGuarantee
                                    : History.Guarantee.SERVES_AGAIN,
                            "nobody takes a command");
            return;
        }
        Set<Long> ids = group.memberIds();
        group.members.values().stream()
                .filter(m -> ids.contains(m.id) && m.alive())
                .forEach(m -> group.history().checkFinalState(m.id, m.state, lossGuarantee));
    }
}
