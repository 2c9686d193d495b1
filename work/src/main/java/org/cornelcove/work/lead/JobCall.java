package org.cornelcove.work.lead;

import java.util.List;

import org.cornelcove.work.job.Schedule;
import org.cornelcove.work.job.StepSpec;

/**
 * A caller's request, as an entry forwards it to the leader.
 *
 * @param kind the operation
 * @param host the host name that the caller used
 * @param path the path that the caller used: a queue's prefix followed by the job's id
 * @param taskText the text that the tasks of a submitted job receive
 * @param steps the steps of a submitted job
 * @param schedule the start times of a submitted job
 */
public record JobCall(Kind kind, String host, String path, String taskText, List<StepSpec> steps, Schedule schedule) {
    /** The operation that a caller requests. */
    public enum Kind {
        /** Accept a job. */
        SUBMIT,
        /** Return a job's phase, or a queue's count. */
        SHOW,
        /** Cancel a job. */
        CANCEL
    }
}
