package org.cornelcove.control.state;

import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;

/**
 * Checks whether a job fits on a worker. Used when commands are applied, which decides, and by the leader for planning.
 *
 * <p>A job fits when everything held on the host together with it stays within the host's capacity in each of
 * processor, memory and accelerators. Batch work must also leave the service reserve of the processor free of batch
 * work. Example: a host of 32 cores with a reserve of 10% takes batch work up to 28.8 cores, and services up to what
 * is left of 32.
 */
public final class FitCheck {
    private static final int PERCENT = 100;

    private FitCheck() {}

    /**
     * Checks whether the job fits in addition to what is held.
     *
     * @param spec the job
     * @param capacity the worker's total resources
     * @param held what is held on it
     * @param rule the rule for batch work
     * @return true if no resource exceeds its limit
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
     * Checks whether the job would fit on the host if it were empty.
     *
     * @param spec the job
     * @param capacity the worker's total resources
     * @param rule the rule for batch work
     * @return true if no resource exceeds its limit
     */
    public static boolean fitsEmpty(JobSpec spec, Resources capacity, BatchRule rule) {
        return fits(spec, capacity, Holding.NONE, rule);
    }

    private static long batchCpuMillicores(Resources capacity, BatchRule rule) {
        return capacity.cpuMillicores() * (PERCENT - rule.serviceReservePercent()) / PERCENT;
    }
}
