package org.cornelcove.model.message;

import java.util.Optional;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.job.JobSpec;

/**
 * One instruction to a worker.
 *
 * @param attempt the attempt
 * @param action the action to take
 * @param spec the job, present for {@code RUN} of an attempt that the worker did not report
 * @param checkpoint the checkpoint to resume from, empty to start from the beginning
 */
public record AttemptOrder(
        AttemptId attempt, AttemptAction action, Optional<JobSpec> spec, Optional<String> checkpoint) {}
