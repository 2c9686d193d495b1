package org.cornelcove.model.job;

import org.cornelcove.model.id.JobId;
import org.cornelcove.model.resource.Resources;

/**
 * The specification of a job as submitted.
 *
 * @param id the job's name, the key of its idempotent submission
 * @param team the team whose quota it counts against
 * @param kind service or batch
 * @param task the kind of work, the key under which run times and interference are learned
 * @param resources the resources that one attempt holds
 * @param declaredRunMs the run time that the submitter expects, in milliseconds; a hint only
 * @param urgent whether it is placed before all jobs that are not urgent
 * @param payload passed to the worker unchanged
 */
public record JobSpec(
        JobId id,
        String team,
        JobKind kind,
        String task,
        Resources resources,
        long declaredRunMs,
        boolean urgent,
        String payload) {}
