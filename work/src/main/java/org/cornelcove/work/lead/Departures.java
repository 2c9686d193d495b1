package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.log.EventLog;

/**
 * The workers that said that they end, and the acknowledgements that they wait for. Used on the leader's loop only.
 *
 * <p>A worker ends when its message is acknowledged, or some seconds later without an acknowledgement, which may be lost.
 * So the message proves no end: the runs of the worker are stopped before the acknowledgement, and those whose end it did
 * not list start again only after its lease.
 */
final class Departures {
    /** How long an acknowledgement waits for the stops of the worker's runs beyond their timeout. */
    private static final long STOP_MARGIN_MS = 500;

    private final Term term;
    private final Map<Worker, List<Runnable>> acknowledgements = new HashMap<>();

    Departures(Term term) {
        this.term = term;
    }

    /**
     * Handles a worker's message that it ends. The message may be late, and its sender may have started again since: one that
     * names another life of the worker than the current one, or none although the current one does not drain, tells nothing
     * about the current one.
     *
     * @param id the worker
     * @param processStartMs the life that ends, empty if the message does not name it
     * @param acknowledge sends the acknowledgement: once the worker has no runs, or when their stops are overdue
     */
    void leave(String id, OptionalLong processStartMs, Runnable acknowledge) {
        Optional<Worker> current = term.worker(id).filter(worker -> !worker.incarnationEnded);
        if (current.isEmpty()) {
            acknowledge.run();
            return;
        }
        Worker worker = current.get();
        boolean meansThisLife = processStartMs.isPresent()
                ? processStartMs.getAsLong() == worker.processStartMs
                : worker.info.filter(WorkerInfo::draining).isPresent();
        EventLog.event(
                meansThisLife ? "worker.leaves" : "worker.leave.stale",
                "worker",
                id,
                "born",
                worker.processStartMs,
                "leaving",
                processStartMs.isPresent() ? processStartMs.getAsLong() : "",
                "runs",
                worker.runCount());
        if (!meansThisLife) {
            acknowledge.run();
            return;
        }
        worker.leaving = true;
        acknowledgements.computeIfAbsent(worker, any -> new ArrayList<>()).add(acknowledge);
        term.clock.later(term.settings.stopTimeoutMs() + STOP_MARGIN_MS, () -> acknowledge(worker));
        List<ActiveRun> runs = new ArrayList<>();
        worker.runs().forEach(runs::add);
        runs.forEach(term.calls::requestStop);
        endIfIdle(worker);
    }

    /** Ends the incarnation of a leaving worker of which no run is left. */
    void endIfIdle(Worker worker) {
        if (worker.leaving && worker.idle()) {
            term.endIncarnation(worker, "it left");
        }
    }

    /** Sends the acknowledgements that a worker waits for. */
    void acknowledge(Worker worker) {
        Optional.ofNullable(acknowledgements.remove(worker)).ifPresent(all -> all.forEach(Runnable::run));
    }
}
