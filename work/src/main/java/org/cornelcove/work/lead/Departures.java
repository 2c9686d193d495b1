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
 * The workers that drain or said that they end, and the acknowledgements that they wait for. Used on the leader's loop
 * only.
 *
 * <p>A draining worker says how long it stays at least. What it still runs shortly before is stopped, since an end that
 * it lists lets the task start elsewhere at once; after its end nothing but the lease would tell.
 *
 * <p>A worker ends when its message is acknowledged, or some seconds later without an acknowledgement, which may be lost.
 * So the message proves no end: the runs of the worker are stopped before the acknowledgement, and those whose end it did
 * not list start again only after its lease.
 */
final class Departures {
    /** How long an acknowledgement waits for the stops of the worker's runs beyond their timeout. */
    private static final long STOP_MARGIN_MS = 500;
    /** Time from the end of a stop to the worker's end, for a late heartbeat and for the poll that lists the stop. */
    private static final long LIST_MARGIN_MS = 250;

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
        stopRuns(worker);
        endIfIdle(worker);
    }

    /** Records how long a draining worker stays. */
    void recordHeartbeat(Worker worker, WorkerInfo info, long nowMs) {
        worker.staysUntilMs = info.draining() && info.remainingMs().isPresent()
                ? nowMs + info.remainingMs().getAsLong()
                : Long.MAX_VALUE;
    }

    /** Stops the runs of a worker that may end soon, and ends the incarnation of one that leaves and has none. */
    void tick(Worker worker, long nowMs) {
        if (worker.staysUntilMs - nowMs < term.settings.stopTimeoutMs() + LIST_MARGIN_MS) {
            stopRuns(worker);
        }
        endIfIdle(worker);
    }

    private void stopRuns(Worker worker) {
        List<ActiveRun> runs = new ArrayList<>();
        for (ActiveRun run : worker.runs()) {
            if (!run.stopWanted) {
                runs.add(run);
            }
        }
        runs.forEach(term.calls::requestStop);
    }

    private void endIfIdle(Worker worker) {
        if (worker.leaving && worker.idle()) {
            term.incarnations.end(worker, "it left");
        }
    }

    /** Sends the acknowledgements that a worker waits for. */
    void acknowledge(Worker worker) {
        Optional.ofNullable(acknowledgements.remove(worker)).ifPresent(all -> all.forEach(Runnable::run));
    }
}
