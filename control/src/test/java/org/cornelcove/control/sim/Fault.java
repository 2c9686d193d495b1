package org.cornelcove.control.sim;

import java.util.function.BiConsumer;

import org.cornelcove.model.id.JobId;

/** The faults that can be injected at a step. */
enum Fault {
    LEADER_CHANGE((sim, job) -> sim.group.changeLeader(0)),
    LEADER_CUT_OFF((sim, job) -> sim.group.changeLeader(9_000)),
    COMMITS_SLOW((sim, job) -> {
        sim.group.commitMs(2_500);
        sim.time.after(15_000, () -> sim.group.commitMs(2));
    }),
    WORKER_CUT_BRIEFLY((sim, job) -> cut(sim, sim.anyWorker().link, 2_000)),
    WORKER_CUT_LONG((sim, job) -> cut(sim, sim.anyWorker().link, 12_000)),
    WORKER_ANSWERS_LOST((sim, job) -> {
        Link link = sim.anyWorker().link;
        link.answersLost(true);
        sim.time.after(9_000, () -> link.answersLost(false));
    }),
    DUPLICATED((sim, job) -> sim.links().forEach(link -> {
        link.duplicating(true);
        sim.time.after(12_000, () -> link.duplicating(false));
    })),
    DELAYED((sim, job) -> sim.links().forEach(link -> {
        link.extraDelayMs(700);
        sim.time.after(10_000, () -> link.extraDelayMs(0));
    })),
    REORDERED((sim, job) -> sim.links().forEach(link -> {
        link.reordering(true);
        sim.time.after(12_000, () -> link.reordering(false));
    })),
    REORDERED_AND_DUPLICATED((sim, job) -> {
        REORDERED.inject(sim, job);
        DUPLICATED.inject(sim, job);
    }),
    WORKER_FROZEN((sim, job) -> {
        FakeWorker worker = sim.anyWorker();
        worker.freeze();
        sim.time.after(10_000, worker::thaw);
    }),
    WORKER_RESTARTED((sim, job) -> sim.anyWorker().restart()),
    CANCELLED((sim, job) -> sim.operator.cancel(job)),
    ENTRY_CUT((sim, job) -> cut(sim, sim.anyEntry().link, 6_000)),
    ENTRY_FROZEN((sim, job) -> {
        FakeEntry entry = sim.anyEntry();
        entry.freeze();
        sim.time.after(7_000, entry::thaw);
    }),
    ENTRY_RESTARTED((sim, job) -> sim.anyEntry().restart()),
    ENTRY_DRAINED((sim, job) -> sim.anyEntry().drain()),
    OPERATOR_RESENDS((sim, job) -> sim.operator.resendAll()),
    DUPLICATED_LATE((sim, job) -> sim.links().forEach(link -> {
        link.duplicatingLate(true);
        sim.time.after(12_000, () -> link.duplicatingLate(false));
    }));

    private final BiConsumer<Simulation, JobId> action;

    Fault(BiConsumer<Simulation, JobId> action) {
        this.action = action;
    }

    void inject(Simulation sim, JobId job) {
        action.accept(sim, job);
    }

    private static void cut(Simulation sim, Link link, long forMs) {
        link.down(true);
        sim.time.after(forMs, () -> link.down(false));
    }
}
