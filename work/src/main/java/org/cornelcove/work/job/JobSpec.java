package org.cornelcove.work.job;

import java.util.List;

/**
 * What a caller submits.
 *
 * @param id chosen by the caller; the same id again is the same job
 * @param host the host name of the queue that took it
 * @param pathPrefix the path prefix of the queue that took it
 * @param taskText handed to each task as it is
 * @param steps the steps, in the caller's order
 * @param schedule when the steps run
 */
public record JobSpec(
        String id, String host, String pathPrefix, String taskText, List<StepSpec> steps, Schedule schedule) {}
