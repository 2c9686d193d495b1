package org.cornelcove.model.job;

import org.cornelcove.model.id.JobId;
import org.cornelcove.model.resource.Resources;

/**
 * What a submitter asks for.
 *
 * @param id the job's name, the key of its idempotent submission
 * @param team the team whose quota it counts against
 * @param kind service or batch
 * @param task the kind of work, the key under which run times and interference are learned
 * @param resources what one attempt holds
 * @param declaredRunMs the run time its submitter expects; a hint only
 * @param urgent placed before all that is not urgent
 * @param payload handed to the worker as it is
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
