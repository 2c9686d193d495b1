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
    private static final double AIM_SHARE = 0.6;
    /** The part of the way to its target that fill work may take of a task whose own load is above the aim. */
    private static final double REST_SHARE = 0.5;
    /** Harm of a pair below this leaves a task over its target that is there by its own load. */
    private static final double MILD_HARM = 0.7;
    /** How much more room, as a logarithm, a task gets that was over its target twice: what is known was not enough. */
    private static final double BRAKE = 0.4;
    /** The least room, so that a share of it can be told. */
    private static final double LEAST_ROOM = 0.01;
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
     * @param usedShare what it used when the tails were taken, as a share of the worker; 0 for one that began since
     */
    public record Fill(String image, double cpuShare, double usedShare) {}

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
        for (Serving task : serving) {
            double now = 0;
            for (Fill fill : fills) {
                now += known.harm(task.image(), fill.image()) * fill.usedShare();
            }
            double own = Math.log(Math.max(task.share(), 1e-3)) - now;
            double room = Math.max(Math.log(AIM_SHARE) - own, -own * REST_SHARE) - (task.over() ? BRAKE : 0);
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
     * Returns how much of the way to its target a fill task more would take the worst lasting task; over 1, too far.
     *
     * @param serving the lasting tasks beside it
     * @param fills the fill work beside them
     * @param image the image
     * @param cpuShare what it would use, as a share of the worker
     * @param known what is known of the images
     * @return how much of the way to its target a fill task more would take the worst lasting task; over 1, too far
     */
    public static double cost(
            List<Serving> serving, List<Fill> fills, String image, double cpuShare, Interference known) {
        double worst = 0;
        for (Serving task : serving) {
            double harm = known.harm(task.image(), image) * cpuShare;
            double begun = 0;
            for (Fill fill : fills) {
                begun += fill.usedShare() > 0 ? 0 : harm(task, fill, known);
            }
            double room = Math.log(AIM_SHARE) - Math.log(Math.max(task.share(), 1e-3)) - begun;
            worst = Math.max(worst, harm / Math.max(room, harm < MILD_HARM * cpuShare ? 1 : LEAST_ROOM));
        }
        return worst;
    }
}
