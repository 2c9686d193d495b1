package org.cornelcove.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongToDoubleFunction;

/**
 * Requests of one kind with Poisson arrivals and log-normal run times.
 *
 * @param tenant the tenant
 * @param kind the kind of work
 * @param meanRunUs the mean run time
 * @param sigma the spread of the run time's logarithm
 * @param declaredFactor the declared size over the mean run time
 * @param deadlineUs the time allowed for the answer
 * @param stragglerShare the share of requests that run fifty times as long
 */
record CallMix(
        String tenant,
        String kind,
        long meanRunUs,
        double sigma,
        double declaredFactor,
        long deadlineUs,
        double stragglerShare) {
    private static final int STRAGGLER_FACTOR = 50;

    /** Returns the arrivals up to the end, at a rate a second that may change with time. */
    List<Call> arrivals(LongToDoubleFunction perSecond, double maxPerSecond, long endUs, long seed) {
        Random random = new Random(seed);
        List<Call> calls = new ArrayList<>();
        double atUs = 0;
        while (true) {
            atUs += -Math.log(1 - random.nextDouble()) * 1e6 / maxPerSecond;
            if (atUs >= endUs) {
                return calls;
            }
            if (random.nextDouble() * maxPerSecond < perSecond.applyAsDouble((long) atUs)) {
                calls.add(call((long) atUs, random));
            }
        }
    }

    private Call call(long atUs, Random random) {
        double run = meanRunUs * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
        boolean straggler = random.nextDouble() < stragglerShare;
        long runUs = Math.max(100, Math.round(straggler ? run * STRAGGLER_FACTOR : run));
        return new Call(atUs, tenant, kind, runUs, Math.round(meanRunUs * declaredFactor), deadlineUs, 0);
    }
}
