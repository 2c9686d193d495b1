package org.cornelcove.work.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** One task of one occurrence: what has ended and what runs. Changed only by {@link WorkState}. */
public final class Task {
    int lastRunId;
    int failures;
    boolean done;
    String checkpoint = "";
    final List<Run> runs = new ArrayList<>(1);

    Task() {}

    /**
     * Returns the number of the newest run, 0 before the first.
     *
     * @return the number of the newest run, 0 before the first
     */
    public int lastRunId() {
        return lastRunId;
    }

    /**
     * Returns how many runs ended as failed.
     *
     * @return how many runs ended as failed
     */
    public int failures() {
        return failures;
    }

    /**
     * Tells whether a run ended as done.
     *
     * @return whether a run ended as done
     */
    public boolean done() {
        return done;
    }

    /**
     * Returns the newest saved progress, empty when there is none.
     *
     * @return the newest saved progress, empty when there is none
     */
    public String checkpoint() {
        return checkpoint;
    }

    /**
     * Returns the runs that have not ended.
     *
     * @return the runs that have not ended
     */
    public List<Run> runs() {
        return runs;
    }

    /**
     * Finds a run that has not ended.
     *
     * @param runId the run's number
     * @return a run that has not ended
     */
    public Optional<Run> run(int runId) {
        return runs.stream().filter(r -> r.runId() == runId).findFirst();
    }
}
