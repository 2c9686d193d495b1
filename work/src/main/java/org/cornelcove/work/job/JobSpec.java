package org.cornelcove.work.job;

import java.util.List;

/**
 * The specification of a job, as a caller submits it.
 *
 * @param id chosen by the caller; submitting the same id again has no effect
 * @param host the host name of the queue that accepted it
 * @param pathPrefix the path prefix of the queue that accepted it
 * @param taskText passed to each task unchanged
 * @param steps the steps, in the caller's order
 * @param schedule when the steps run
 */
public record JobSpec(
        String id, String host, String pathPrefix, String taskText, List<StepSpec> steps, Schedule schedule) {}
