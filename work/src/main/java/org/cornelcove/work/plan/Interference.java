package org.cornelcove.work.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

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

    /**
     * What is known of a pair.
     *
     * @param serving the image of the lasting task
     * @param fill the image of the fill work
     * @param harm by how much the logarithm of the tail rises when the fill work uses the whole worker
     */
    public record Pair(String serving, String fill, double harm) {}

    /** Harm from which fill work finds no place beside a lasting task: one usual fill task takes it to its target. */
    private static final double EXCLUDING_HARM = 2;

    private final Map<String, Model> models = new HashMap<>();

    /** What an earlier leader learned; it stands in for an unknown pair. */
    private final Map<String, Map<String, Double>> learnedBefore = new HashMap<>();

    /**
     * Takes over what was learned before.
     *
     * @param pairs what was known then
     */
    public void remember(List<Pair> pairs) {
        pairs.forEach(pair -> learnedBefore
                .computeIfAbsent(pair.serving(), any -> new HashMap<>())
                .put(pair.fill(), pair.harm()));
    }

    /**
     * Tells what is known.
     *
     * @return each pair that was observed by now
     */
    public List<Pair> summary() {
        List<Pair> pairs = new ArrayList<>();
        models.forEach(
                (serving, model) -> model.harm.forEach((fill, harm) -> pairs.add(new Pair(serving, fill, harm))));
        return pairs;
    }

    private double assumed(String serving, String fill) {
        return learnedBefore.getOrDefault(serving, Map.of()).getOrDefault(fill, UNKNOWN_HARM);
    }

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
            useChange.keySet().forEach(image -> improve(serving, model, image));
        }
    }

    private void improve(String serving, Model model, String image) {
        Map<String, Double> row = model.products.get(image);
        double explained = 0;
        for (Map.Entry<String, Double> other : row.entrySet()) {
            if (!other.getKey().equals(image)) {
                explained +=
                        other.getValue() * model.harm.getOrDefault(other.getKey(), assumed(serving, other.getKey()));
            }
        }
        double harm =
                (model.targets.get(image) - explained + RIDGE * assumed(serving, image)) / (row.get(image) + RIDGE);
        model.harm.put(image, Math.max(0, harm));
    }

    private Set<String> fillImages() {
        Set<String> fills = new HashSet<>();
        learnedBefore.values().forEach(row -> fills.addAll(row.keySet()));
        models.values().forEach(model -> fills.addAll(model.harm.keySet()));
        return fills;
    }

    private boolean observed(String serving, String fill) {
        Model model = models.get(serving);
        return model != null && model.harm.containsKey(fill)
                || learnedBefore.getOrDefault(serving, Map.of()).containsKey(fill);
    }

    private double excluded(String serving, String fill) {
        return Math.min(1, harm(serving, fill) / EXCLUDING_HARM);
    }

    /**
     * Returns how differently fill work bears on two images of lasting tasks. Images that the same fill work disturbs go
     * well together on a worker.
     *
     * @param one an image
     * @param other an image
     * @return 0 when all known fill work treats both alike, 1 when it is all unlike, or not known
     */
    public double difference(String one, String other) {
        if (one.equals(other)) {
            return 0;
        }
        Set<String> fills = fillImages();
        double sum = 0;
        for (String fill : fills) {
            boolean known = observed(one, fill) && observed(other, fill);
            sum += known ? Math.abs(excluded(one, fill) - excluded(other, fill)) : 1;
        }
        return fills.isEmpty() ? 1 : sum / fills.size();
    }

    private double borne(Collection<String> serving, String fill) {
        double worst = 0;
        for (String image : serving) {
            worst = Math.max(worst, excluded(image, fill));
        }
        return 1 - worst;
    }

    /**
     * Returns how scarce places for each known image of fill work are.
     *
     * @param workers the images of the lasting tasks of each worker
     * @return by image of fill work: 1 when one worker at most bears it, less the more do
     */
    public Map<String, Double> scarcity(Collection<? extends Collection<String>> workers) {
        Map<String, Double> scarcity = new HashMap<>();
        for (String fill : fillImages()) {
            double places = 0;
            for (Collection<String> serving : workers) {
                places += borne(serving, fill);
            }
            scarcity.put(fill, 1 / Math.max(1, places));
        }
        return scarcity;
    }

    /**
     * Returns which share of the fill work that is hard to place could run beside some lasting tasks.
     *
     * @param serving the images of the lasting tasks
     * @param scarcity how scarce places for each image of fill work are
     * @return 1 when they bear all fill work
     */
    public double openness(Collection<String> serving, Map<String, Double> scarcity) {
        double open = 0;
        double all = 0;
        for (Map.Entry<String, Double> fill : scarcity.entrySet()) {
            open += fill.getValue() * borne(serving, fill.getKey());
            all += fill.getValue();
        }
        return all == 0 ? 1 : open / all;
    }

    /**
     * Returns by how much the logarithm of the tail rises when fill work uses the whole worker.
     *
     * @param serving the lasting tasks beside it
     * @param fill the image of the fill work
     * @return by how much the logarithm of the tail rises when fill work uses the whole worker
     */
    public double harm(String serving, String fill) {
        Model model = models.get(serving);
        Double harm = model == null ? null : model.harm.get(fill);
        return harm == null ? assumed(serving, fill) : harm;
    }
}
