package org.cornelcove.work.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Sets how fast fill work may run beside lasting tasks with a target. Only fill work whose image is known to disturb them
 * is slowed, the most harmful first and by as much as returns the tail latency below its target; it is sped up again as
 * far as the tail latencies allow.
 *
 * <p>Load pattern: the load of lasting tasks changes within seconds, and with it how much fill work they tolerate. Halving
 * the pace of all fill work whenever a tail latency was high was rejected: it starved work that did no harm.
 */
public final class PaceControl {
    /** The pace of work that is not slowed. */
    public static final int FULL_PERCENT = 100;
    /** Share of its target below which a tail latency is kept: measurements are rough and half a second old. */
    private static final double AIM_SHARE = 0.6;
    /** Share of the remaining distance to the target that fill work may use up if the own load exceeds the aim. */
    private static final double REMAINING_SHARE = 0.5;
    /** Fill work with less harm than this is not slowed beside a task that its own load takes over its target. */
    private static final double MILD_HARM = 0.7;
    /** Extra room, as a logarithm, for a task that was over its target twice: the known harm did not explain it. */
    private static final double OVER_TARGET_ROOM = 0.4;
    /** Lower bound of the room, as a logarithm, so that it can be divided by. */
    private static final double MIN_ROOM = 0.01;
    /** Granularity of the pace, so that small changes send no orders. */
    private static final int STEP_PERCENT = 10;

    private PaceControl() {}

    /**
     * A lasting task with a target.
     *
     * @param image its image
     * @param share its tail latency as a share of its target
     * @param overTarget whether it was over its target at the previous poll too
     */
    public record Serving(String image, double share, boolean overTarget) {}

    /**
     * A fill task.
     *
     * @param image its image
     * @param cpuShare the processor that it uses at full speed, as a share of the worker
     * @param usedShare the processor that it used when the tail latencies were measured, as a share of the worker; 0 for one
     *     that started since
     */
    public record Fill(String image, double cpuShare, double usedShare) {}

    /**
     * Returns the next pace of each fill task.
     *
     * @param serving the lasting tasks beside it
     * @param fills the fill tasks
     * @param known the learned harm of the images
     * @return percent of full speed for each fill task in the order of the list, rounded down to tens
     */
    public static int[] next(List<Serving> serving, List<Fill> fills, Interference known) {
        double[] percents = new double[fills.size()];
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < percents.length; i++) {
            percents[i] = FULL_PERCENT;
            order.add(i);
        }
        for (Serving task : serving) {
            double now = 0;
            for (Fill fill : fills) {
                now += known.harm(task.image(), fill.image()) * fill.usedShare();
            }
            double own = Math.log(Math.max(task.share(), 1e-3)) - now;
            double room = Math.max(Math.log(AIM_SHARE) - own, -own * REMAINING_SHARE)
                    - (task.overTarget() ? OVER_TARGET_ROOM : 0);
            order.sort(Comparator.comparingDouble((Integer i) -> harm(task, fills.get(i), known)));
            for (int i : order) {
                double harm = harm(task, fills.get(i), known);
                boolean mild = known.harm(task.image(), fills.get(i).image()) < MILD_HARM;
                if (harm > 0 && !(mild && own > 0)) {
                    double part = Math.max(0, Math.min(1, room / harm));
                    percents[i] = Math.min(percents[i], part * FULL_PERCENT);
                }
                room -= harm * percents[i] / FULL_PERCENT;
            }
        }
        int[] rounded = new int[percents.length];
        for (int i = 0; i < rounded.length; i++) {
            rounded[i] = (int) (percents[i] / STEP_PERCENT) * STEP_PERCENT;
        }
        return rounded;
    }

    private static double harm(Serving task, Fill fill, Interference known) {
        return known.harm(task.image(), fill.image()) * fill.cpuShare();
    }

    /**
     * Returns by which share of its distance to the target one more fill task would raise a lasting task, at the worst.
     *
     * @param serving the lasting tasks beside it
     * @param fills the fill work beside them
     * @param image the image of the additional fill task
     * @param cpuShare the processor that it would use, as a share of the worker
     * @param known the learned harm of the images
     * @return 0 for no harm, above 1 if its tail latency would exceed the share of the target below which it is kept
     */
    public static double cost(
            List<Serving> serving, List<Fill> fills, String image, double cpuShare, Interference known) {
        double worst = 0;
        for (Serving task : serving) {
            double harm = known.harm(task.image(), image) * cpuShare;
            double startedHarm = 0;
            for (Fill fill : fills) {
                startedHarm += fill.usedShare() > 0 ? 0 : harm(task, fill, known);
            }
            double room = Math.log(AIM_SHARE) - Math.log(Math.max(task.share(), 1e-3)) - startedHarm;
            worst = Math.max(worst, harm / Math.max(room, harm < MILD_HARM * cpuShare ? 1 : MIN_ROOM));
        }
        return worst;
    }
}
