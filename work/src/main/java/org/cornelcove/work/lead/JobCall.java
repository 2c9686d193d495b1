package org.cornelcove.work.lead;

import java.util.List;

import org.cornelcove.work.job.Schedule;
import org.cornelcove.work.job.StepSpec;

/**
 * A caller's call, as an entry hands it to the leader.
 *
 * @param kind what is asked
 * @param host the host name that the caller used
 * @param path the path that the caller used: a queue's prefix, and the job's id
 * @param taskText the text for the tasks of a job to accept
 * @param steps the steps of a job to accept
 * @param schedule the times of a job to accept
 */
public record JobCall(Kind kind, String host, String path, String taskText, List<StepSpec> steps, Schedule schedule) {
    /** What is asked. */
    public enum Kind {
        /** Accept a job. */
        SUBMIT,
        /** Tell a job's state, or a queue's count. */
        SHOW,
        /** Cancel a job. */
        CANCEL
    }
}
