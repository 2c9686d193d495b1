package org.cornelcove.control.state;

import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;

/**
 * The fit check. Used by {@code apply}, which decides, and by the leader, which plans.
 *
 * <p>A job fits when everything held on the host together with it stays within the host's capacity in each of
 * processor, memory and accelerators. Batch work must besides leave the service reserve of the processor free of batch
 * work. Example: a host of 32 cores with a reserve of 10% takes batch work up to 28.8 cores, and services up to what
 * is left of 32.
 */
public final class Fit {
    private static final int PERCENT = 100;

    private Fit() {}

    /**
     * Tells whether the job fits beside what is held.
     *
     * @param spec the job
     * @param capacity what the worker holds
     * @param held what is held on it
     * @param rule the rule for batch work
     * @return whether the job fits beside what is held
     */
    public static boolean fits(JobSpec spec, Resources capacity, Holding held, BatchRule rule) {
        if (!held.total().plus(spec.resources()).fitsIn(capacity)) {
            return false;
        }
        if (spec.kind() != JobKind.BATCH) {
            return true;
        }
        long batchCpu = held.batch().cpuMillicores() + spec.resources().cpuMillicores();
        return batchCpu <= batchCpuMillicores(capacity, rule);
    }

    /**
     * Tells whether the job would fit on the host if it were empty.
     *
     * @param spec the job
     * @param capacity what the worker holds
     * @param rule the rule for batch work
     * @return whether the job would fit on the host if it were empty
     */
    public static boolean fitsEmpty(JobSpec spec, Resources capacity, BatchRule rule) {
        return fits(spec, capacity, Holding.NONE, rule);
    }

    private static long batchCpuMillicores(Resources capacity, BatchRule rule) {
        return capacity.cpuMillicores() * (PERCENT - rule.serviceReservePercent()) / PERCENT;
    }
}
