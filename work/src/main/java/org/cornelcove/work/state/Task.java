package org.cornelcove.work.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A task of an occurrence, with its result so far and its active runs. Modified only by {@link WorkState}. */
public final class Task {
    int lastRunId;
    int failures;
    boolean done;
    String checkpoint = "";
    int crashes;
    int lastCrashedRunId;
    long lastCrashMs;
    final List<Run> runs = new ArrayList<>(1);

    Task() {}

    /**
     * Returns the number of the most recent run.
     *
     * @return the number, 0 before the first run
     */
    public int lastRunId() {
        return lastRunId;
    }

    /**
     * Returns how many runs failed.
     *
     * @return the count; for a gang the runs in which any of its tasks failed
     */
    public int failures() {
        return failures;
    }

    /**
     * Returns how many crashes of workers the task was blamed for.
     *
     * @return the count; it begins anew when the latest crash was long ago
     */
    public int crashes() {
        return crashes;
    }

    /**
     * Returns whether the task is done.
     *
     * @return whether a run of the task, or of any task of its gang, ended as done
     */
    public boolean done() {
        return done;
    }

    /**
     * Returns the most recent checkpoint.
     *
     * @return the checkpoint, empty when there is none
     */
    public String checkpoint() {
        return checkpoint;
    }

    /**
     * Returns the active runs.
     *
     * @return the runs that have not ended, oldest first; not a copy
     */
    public List<Run> runs() {
        return runs;
    }

    /**
     * Finds an active run.
     *
     * @param runId the number of the run
     * @return the run, empty when it has ended or never started
     */
    public Optional<Run> run(int runId) {
        return runs.stream().filter(r -> r.runId() == runId).findFirst();
    }
}
