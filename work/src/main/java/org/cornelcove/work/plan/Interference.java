package org.cornelcove.work.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * What fill work of one image does to the tail of lasting tasks of another, learned from pairs of looks at a worker: how
 * the logarithm of a task's tail changed with the processor that the fill work there used. One ridge regression for each
 * image of lasting tasks, whose solution is improved a little with each observation.
 *
 * <p>Load pattern: a few pairs of images disturb each other strongly, most hardly at all, and the load of the lasting
 * tasks themselves moves their tail as much. Levels mix the two; changes within a second show the pairs. Slowing all
 * fill work whenever a tail was high lost most of its speed and left the tails as they were.
 */
public final class Interference {
    /** Weight of the assumption about an unknown pair, in squared shares of a worker. */
    private static final double RIDGE = 0.02;
    /** The harm of an unknown pair: more than most do, less than the worst. */
    private static final double UNKNOWN_HARM = 0.8;
    /** What an observation still counts after a hundred others, so that what changes is learned anew. */
    private static final double MEMORY = 0.998;
    /** Changes beyond this are restarts of a task or lost samples, not harm. */
    private static final double MAX_CHANGE = 1.8;
    /** Rounds over all images with each observation. */
    private static final int SWEEPS = 2;

    private static final class Model {
        final Map<String, Map<String, Double>> products = new HashMap<>();
        final Map<String, Double> targets = new HashMap<>();
        final Map<String, Double> harm = new HashMap<>();
    }

    private final Map<String, Model> models = new HashMap<>();

    /**
     * Takes an observation.
     *
     * @param serving the image of the lasting task
     * @param tailChange by how much the logarithm of its tail changed
     * @param useChange by how much the processor that fill work used changed, by image, as a share of the worker
     */
    public void observe(String serving, double tailChange, Map<String, Double> useChange) {
        if (Math.abs(tailChange) > MAX_CHANGE) {
            return;
        }
        Model model = models.computeIfAbsent(serving, any -> new Model());
        useChange.forEach((image, change) -> {
            Map<String, Double> row = model.products.computeIfAbsent(image, any -> new HashMap<>());
            row.replaceAll((other, sum) -> sum * MEMORY);
            useChange.forEach((other, otherChange) -> row.merge(other, change * otherChange, Double::sum));
            model.targets.merge(image, change * tailChange, (old, add) -> old * MEMORY + add);
        });
        for (int sweep = 0; sweep < SWEEPS; sweep++) {
            useChange.keySet().forEach(image -> improve(model, image));
        }
    }

    private static void improve(Model model, String image) {
        Map<String, Double> row = model.products.get(image);
        double explained = 0;
        for (Map.Entry<String, Double> other : row.entrySet()) {
            if (!other.getKey().equals(image)) {
                explained += other.getValue() * model.harm.getOrDefault(other.getKey(), UNKNOWN_HARM);
            }
        }
        double harm = (model.targets.get(image) - explained + RIDGE * UNKNOWN_HARM) / (row.get(image) + RIDGE);
        model.harm.put(image, Math.max(0, harm));
    }

    /**
     * Returns by how much the logarithm of the tail rises when fill work uses the whole worker.
     *
     * @param serving the lasting tasks beside it
     * @param fill the fill
     * @return by how much the logarithm of the tail rises when fill work uses the whole worker
     */
    public double harm(String serving, String fill) {
        Model model = models.get(serving);
        return model == null ? UNKNOWN_HARM : model.harm.getOrDefault(fill, UNKNOWN_HARM);
    }
}
