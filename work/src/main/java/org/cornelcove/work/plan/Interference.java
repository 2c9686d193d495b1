package org.cornelcove.work.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The effect of fill work of one image on the tail latency of lasting tasks of another, learned from pairs of consecutive
 * polls of a worker: how the logarithm of the tail latency changed with the processor that the fill work used. There is
 * one ridge regression for each image of lasting tasks; each observation improves its solution by a few coordinate sweeps.
 *
 * <p>Load pattern: a few pairs of images disturb each other strongly, most hardly at all, and the load of the lasting
 * tasks themselves changes their tail latency as much. Absolute values mix the two effects; changes within a second
 * separate them. Slowing all fill work whenever a tail latency was high was rejected: fill work lost most of its speed
 * and the tail latencies did not improve.
 */
public final class Interference {
    /** Weight of the prior of a pair, in squared shares of a worker. */
    private static final double RIDGE = 0.02;
    /** Prior harm of an unknown pair: more than most pairs, less than the worst. */
    private static final double PRIOR_HARM = 0.8;
    /** Factor by which each observation reduces the weight of the earlier ones, so that changes are learned. */
    private static final double DECAY = 0.998;
    /** Larger changes come from restarts of a task or missing samples and are ignored. */
    private static final double MAX_CHANGE = 1.8;
    /** Passes over the images of an observation. */
    private static final int SWEEPS = 2;

    private static final class Model {
        final Map<String, Map<String, Double>> products = new HashMap<>();
        final Map<String, Double> targets = new HashMap<>();
        final Map<String, Double> harm = new HashMap<>();
    }

    /**
     * The learned harm of a pair of images.
     *
     * @param serving the image of the lasting task
     * @param fill the image of the fill work
     * @param harm the increase of the logarithm of the tail latency if the fill work uses the whole worker
     */
    public record Pair(String serving, String fill, double harm) {}

    /** Harm from which a lasting task excludes fill work: a fill task of the usual size takes it to its target. */
    private static final double EXCLUDING_HARM = 2;

    private final Map<String, Model> models = new HashMap<>();

    /** Harm by serving and fill image that an earlier leader learned; the prior of a pair. */
    private final Map<String, Map<String, Double>> restoredHarm = new HashMap<>();

    /**
     * Restores what an earlier leader learned.
     *
     * @param pairs the pairs that it had observed
     */
    public void restore(List<Pair> pairs) {
        pairs.forEach(pair -> restoredHarm
                .computeIfAbsent(pair.serving(), any -> new HashMap<>())
                .put(pair.fill(), pair.harm()));
    }

    /**
     * Returns what this instance learned, without restored pairs.
     *
     * @return each pair that was observed
     */
    public List<Pair> summary() {
        List<Pair> pairs = new ArrayList<>();
        models.forEach(
                (serving, model) -> model.harm.forEach((fill, harm) -> pairs.add(new Pair(serving, fill, harm))));
        return pairs;
    }

    private double priorHarm(String serving, String fill) {
        return restoredHarm.getOrDefault(serving, Map.of()).getOrDefault(fill, PRIOR_HARM);
    }

    /**
     * Learns from an observation; implausibly large changes are ignored.
     *
     * @param serving the image of the lasting task
     * @param tailChange the change of the logarithm of its tail latency
     * @param useChange the change of the processor that fill work used, by image, as a share of the worker
     */
    public void observe(String serving, double tailChange, Map<String, Double> useChange) {
        if (Math.abs(tailChange) > MAX_CHANGE) {
            return;
        }
        Model model = models.computeIfAbsent(serving, any -> new Model());
        useChange.forEach((image, change) -> {
            Map<String, Double> row = model.products.computeIfAbsent(image, any -> new HashMap<>());
            row.replaceAll((other, sum) -> sum * DECAY);
            useChange.forEach((other, otherChange) -> row.merge(other, change * otherChange, Double::sum));
            model.targets.merge(image, change * tailChange, (old, add) -> old * DECAY + add);
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
                        other.getValue() * model.harm.getOrDefault(other.getKey(), priorHarm(serving, other.getKey()));
            }
        }
        double harm =
                (model.targets.get(image) - explained + RIDGE * priorHarm(serving, image)) / (row.get(image) + RIDGE);
        model.harm.put(image, Math.max(0, harm));
    }

    private Set<String> fillImages() {
        Set<String> fills = new HashSet<>();
        restoredHarm.values().forEach(row -> fills.addAll(row.keySet()));
        models.values().forEach(model -> fills.addAll(model.harm.keySet()));
        return fills;
    }

    private boolean observed(String serving, String fill) {
        Model model = models.get(serving);
        return model != null && model.harm.containsKey(fill)
                || restoredHarm.getOrDefault(serving, Map.of()).containsKey(fill);
    }

    private double exclusion(String serving, String fill) {
        return Math.min(1, harm(serving, fill) / EXCLUDING_HARM);
    }

    /**
     * Returns how differently fill work disturbs two images of lasting tasks. Images that the same fill work disturbs are
     * best placed on the same worker.
     *
     * @param one an image
     * @param other an image
     * @return 0 if all known fill work disturbs both alike, 1 if none does or the pairs are unknown
     */
    public double difference(String one, String other) {
        if (one.equals(other)) {
            return 0;
        }
        Set<String> fills = fillImages();
        double sum = 0;
        for (String fill : fills) {
            boolean known = observed(one, fill) && observed(other, fill);
            sum += known ? Math.abs(exclusion(one, fill) - exclusion(other, fill)) : 1;
        }
        return fills.isEmpty() ? 1 : sum / fills.size();
    }

    private double tolerance(Collection<String> serving, String fill) {
        double worst = 0;
        for (String image : serving) {
            worst = Math.max(worst, exclusion(image, fill));
        }
        return 1 - worst;
    }

    /**
     * Returns how scarce the workers are that tolerate each known image of fill work.
     *
     * @param workers the images of the lasting tasks of each worker
     * @return by image of fill work: 1 if at most one worker tolerates it, otherwise the inverse of their number
     */
    public Map<String, Double> scarcity(Collection<? extends Collection<String>> workers) {
        Map<String, Double> scarcity = new HashMap<>();
        for (String fill : fillImages()) {
            double places = 0;
            for (Collection<String> serving : workers) {
                places += tolerance(serving, fill);
            }
            scarcity.put(fill, 1 / Math.max(1, places));
        }
        return scarcity;
    }

    /**
     * Returns the share of the fill work, weighted by scarcity, that could run beside some lasting tasks.
     *
     * @param serving the images of the lasting tasks
     * @param scarcity the result of {@link #scarcity}
     * @return from 0 to 1; 1 if they tolerate all fill work or none is known
     */
    public double fillTolerance(Collection<String> serving, Map<String, Double> scarcity) {
        double tolerated = 0;
        double all = 0;
        for (Map.Entry<String, Double> fill : scarcity.entrySet()) {
            tolerated += fill.getValue() * tolerance(serving, fill.getKey());
            all += fill.getValue();
        }
        return all == 0 ? 1 : tolerated / all;
    }

    /**
     * Returns the increase of the logarithm of the tail latency if fill work uses the whole worker.
     *
     * @param serving the image of the lasting tasks
     * @param fill the image of the fill work
     * @return 0 for no harm; the prior if the pair was not observed
     */
    public double harm(String serving, String fill) {
        Model model = models.get(serving);
        Double harm = model == null ? null : model.harm.get(fill);
        return harm == null ? priorHarm(serving, fill) : harm;
    }
}
