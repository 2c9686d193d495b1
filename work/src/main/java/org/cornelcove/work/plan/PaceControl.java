package org.cornelcove.work.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * How fast fill work may run beside lasting tasks with a target. Only fill work whose image is known to disturb is
 * slowed, the most harmful first and by as much as brings the tail under its target again; it comes back as far as the
 * tails allow.
 *
 * <p>Load pattern: the load of lasting tasks swings within seconds, and with it how much fill work they bear. Slowing all
 * fill work by halves whenever a tail was high starved work that did no harm.
 */
public final class PaceControl {
    /** Full speed. */
    public static final int FULL_PERCENT = 100;
    /** The share of its target that a tail is kept under: figures are rough, and half a second old. */
    private static final double AIM_SHARE = 0.75;
    /** Harm too small to matter. */
    private static final double NO_HARM = 0.01;
    /** Steps of the pace, so that small changes send no orders. */
    private static final int STEP_PERCENT = 10;

    private PaceControl() {}

    /**
     * A lasting task with a target.
     *
     * @param image its image
     * @param share its tail as a share of its target
     * @param over whether it was over its target at the last look too, whatever was done since
     */
    public record Serving(String image, double share, boolean over) {}

    /**
     * A fill task.
     *
     * @param image its image
     * @param cpuShare what it uses at full speed, as a share of the worker
     * @param percent its pace now
     */
    public record Fill(String image, double cpuShare, int percent) {}

    /**
     * Returns the next pace of each fill task.
     *
     * @param serving the lasting tasks beside it
     * @param fills the fills
     * @param known what is known of the images
     * @return the next pace of each fill task
     */
    public static int[] next(List<Serving> serving, List<Fill> fills, Interference known) {
        double[] percents = new double[fills.size()];
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < percents.length; i++) {
            percents[i] = FULL_PERCENT;
            order.add(i);
        }
        if (serving.stream().anyMatch(task -> task.over() && task.share() >= 1)) {
            // What is known of the pairs was not enough; nothing is tried on a task that is over its target.
            return new int[fills.size()];
        }
        for (Serving task : serving) {
            double now = 0;
            for (Fill fill : fills) {
                now += harm(task, fill, known) * fill.percent() / FULL_PERCENT;
            }
            double tail = Math.log(Math.max(task.share(), 1e-3));
            double room = Math.log(AIM_SHARE) - (tail - now);
            order.sort(Comparator.comparingDouble((Integer i) -> harm(task, fills.get(i), known)));
            for (int i : order) {
                double harm = harm(task, fills.get(i), known);
                if (harm > NO_HARM) {
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
     * Returns how much of the way to its target a fill task more would take the worst lasting task; over 1, too far.
     *
     * @param serving the lasting tasks beside it
     * @param image the image
     * @param cpuShare the cpu share
     * @param known what is known of the images
     * @return how much of the way to its target a fill task more would take the worst lasting task; over 1, too far
     */
    public static double cost(List<Serving> serving, String image, double cpuShare, Interference known) {
        double worst = 0;
        for (Serving task : serving) {
            double harm = known.harm(task.image(), image) * cpuShare;
            if (harm > NO_HARM) {
                double room = Math.log(AIM_SHARE) - Math.log(Math.max(task.share(), 1e-3));
                worst = Math.max(worst, harm / Math.max(room, NO_HARM));
            }
        }
        return worst;
    }
}
