package org.cornelcove.work.lead;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.plan.ShortWorkRoom;

/** The room of each pool that lasting tasks leave to other work. Used on the leader's loop only. */
final class PoolRooms {
    /** Interval of the log lines on the room of a pool. */
    private static final long LOG_INTERVAL_MS = 1000;

    /** Processor that waiting tasks of a pool ask for, in thousandths of a core. */
    private static final class Waiting {
        private long shortMillis;
        private long fillMillis;
    }

    private final Term term;
    private final Map<String, ShortWorkRoom> rooms = new HashMap<>();
    private final Map<String, Long> lastLogMs = new HashMap<>();
    /** The workers of each pool that take no lasting tasks in this pass. */
    private final Map<String, Set<Worker>> reserved = new HashMap<>();

    PoolRooms(Term term) {
        this.term = term;
    }

    /** Starts a placement pass. */
    void observe(List<Backlog.WaitingStep> steps, Map<String, List<Worker>> usable, long nowMs) {
        reserved.clear();
        Map<String, Waiting> waiting = new HashMap<>();
        for (Backlog.WaitingStep step : steps) {
            StepSpec spec = step.spec();
            Waiting pool = waiting.computeIfAbsent(term.state.queueOf(step.job).pool(), any -> new Waiting());
            long millis = (long) spec.cpuMillis() * step.indices.size();
            pool.fillMillis += spec.fill() ? millis : 0;
            pool.shortMillis += spec.fill() || spec.lasting() ? 0 : millis;
        }
        usable.forEach((name, pool) -> {
            Waiting asked = waiting.getOrDefault(name, new Waiting());
            long shortMillis = asked.shortMillis;
            long fillMillis = asked.fillMillis;
            for (Worker worker : pool) {
                shortMillis += worker.cpuUsed - worker.servingCpu;
                fillMillis += worker.fillCpu;
            }
            rooms.computeIfAbsent(name, any -> new ShortWorkRoom()).observe(nowMs, shortMillis, fillMillis);
            if (nowMs - lastLogMs.getOrDefault(name, -LOG_INTERVAL_MS) >= LOG_INTERVAL_MS) {
                lastLogMs.put(name, nowMs);
                log(name, pool, shortMillis, fillMillis);
            }
        });
    }

    /** Logs how much processor of a pool is free and in which form, from which fragmentation is told from lack. */
    private void log(String name, List<Worker> pool, long shortMillis, long fillMillis) {
        long poolMillis = 0;
        long freeMillis = 0;
        long lastingMillis = 0;
        long openMillis = 0;
        int largestMillis = 0;
        for (Worker worker : pool) {
            int cpuMillis = worker.info.orElseThrow().cpuMillis();
            poolMillis += cpuMillis;
            freeMillis += cpuMillis - worker.cpuUsed;
            lastingMillis += worker.servingCpu;
            openMillis += worker.servingCpu == 0 ? cpuMillis : 0;
            largestMillis = Math.max(largestMillis, cpuMillis - worker.cpuUsed);
        }
        EventLog.event(
                "pool.room",
                "pool",
                name,
                "workers",
                pool.size(),
                "cpuMillis",
                poolMillis,
                "freeMillis",
                freeMillis,
                "largestFreeMillis",
                largestMillis,
                "lastingMillis",
                lastingMillis,
                "shortMillis",
                shortMillis,
                "fillMillis",
                fillMillis,
                "openMillis",
                openMillis,
                "reserveMillis",
                (long) rooms.get(name).reserveMillis(poolMillis));
    }

    /**
     * Returns the workers on which a step may start while it can wait: for a lasting step, those that are not reserved. A
     * step that needs a label or accelerators may use all: the few workers that have them could all be reserved.
     *
     * @param step the step
     * @param pool the usable workers of its pool
     * @param poolName the name of the pool
     * @return a list that is not modified
     */
    List<Worker> allowed(StepSpec step, List<Worker> pool, String poolName) {
        boolean needsFewWorkers = !step.requiredLabel().isEmpty() || step.accelerators() > 0;
        if (!step.lasting() || step.fill() || needsFewWorkers || pool.isEmpty()) {
            return pool;
        }
        Set<Worker> closed = reserved.computeIfAbsent(poolName, any -> choose(pool, rooms.get(poolName)));
        return pool.stream().filter(worker -> !closed.contains(worker)).toList();
    }

    private static Set<Worker> choose(List<Worker> pool, ShortWorkRoom room) {
        return room
                .reserved(pool.stream()
                        .map(worker ->
                                new ShortWorkRoom.Room(worker.info.orElseThrow().cpuMillis(), worker.servingCpu))
                        .toList())
                .stream()
                .mapToObj(pool::get)
                .collect(Collectors.toSet());
    }
}
