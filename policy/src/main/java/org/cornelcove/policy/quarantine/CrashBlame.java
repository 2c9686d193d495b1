package org.cornelcove.policy.quarantine;

import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;

/**
 * Decides which runs are blamed for the crash of their worker, and on which worker a blamed task starts again.
 *
 * <p>Load pattern: one task of a batch crashes each worker on which it starts, within milliseconds, while ten other tasks
 * run there; the worker is back after some seconds, empty, and would get the same task again. Blaming all tasks of the
 * worker was rejected: it fails jobs that could be done. So a run is suspected only while the worker was not heard from for
 * long enough after the run's start, and among several suspects only those that were blamed most often before. A suspect starts again where it can do the least harm and where another crash tells most: apart from
 * other suspects, on a worker that was stable, with few runs.
 */
public final class CrashBlame {
    /** Crashes after which a task is given up; two could be a coincidence when racks lose power. */
    public static final int MAX_CRASHES = 3;
    /** Crashes after which a task gets its worker to itself until it is no longer suspected. */
    public static final int ISOLATED_CRASHES = 2;
    /** Time on a live worker after which a run is no suspect. */
    public static final long SUSPECT_MS = 3000;
    /** Age of a worker process from which it counts as stable; a worker that crashes by itself does so again. */
    private static final long STABLE_MS = 10_000;

    private CrashBlame() {}

    /**
     * A run on the crashed worker.
     *
     * @param crashes how often its task was blamed before
     * @param aliveMs how long the worker was heard from after it had the run, 0 if the start was never confirmed
     */
    public record Run(int crashes, long aliveMs) {}

    /**
     * A worker on which a blamed task could start.
     *
     * @param eligible whether the task fits there
     * @param suspects how many runs of blamed tasks it has
     * @param upMs the age of its process
     * @param runs how many runs it has, which would be lost in a crash
     */
    public record Room(boolean eligible, int suspects, long upMs, int runs) {}

    /**
     * Decides which runs are blamed for a crash.
     *
     * @param runs the runs of the worker
     * @return the indices of the blamed runs, none if all of them had run for long
     */
    public static BitSet blamed(List<Run> runs) {
        int mostCrashes = runs.stream()
                .filter(CrashBlame::suspected)
                .mapToInt(Run::crashes)
                .max()
                .orElse(0);
        BitSet blamed = new BitSet(runs.size());
        for (int i = 0; i < runs.size(); i++) {
            blamed.set(i, suspected(runs.get(i)) && runs.get(i).crashes() == mostCrashes);
        }
        return blamed;
    }

    private static boolean suspected(Run run) {
        return run.aliveMs() < SUSPECT_MS;
    }

    /**
     * Chooses the worker for a task that was blamed.
     *
     * @param rooms the workers to choose from
     * @return the index of the best worker, empty if none is eligible
     */
    public static OptionalInt choose(List<Room> rooms) {
        Comparator<Room> leastHarm = Comparator.comparingInt(Room::suspects)
                .thenComparing(room -> room.upMs() < STABLE_MS)
                .thenComparingInt(Room::runs);
        return IntStream.range(0, rooms.size())
                .filter(i -> rooms.get(i).eligible())
                .boxed()
                .min(Comparator.comparing(rooms::get, leastHarm))
                .map(OptionalInt::of)
                .orElse(OptionalInt.empty());
    }
}
