package org.cornelcove.policy.learn;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Estimates how much each kind of batch work slows down each kind of service, per load band.
 *
 * <p>The model is additive: the slowdown of a service is 1 plus the share that each kind of batch work on its host adds.
 * The difference between a measurement and the prediction is divided among the pairs present, and pairs with less data
 * take a larger part. One sample of a host with several kinds gives little information about each kind; over many hosts
 * with different mixes the shares separate. A model of whole mixes was rejected: with tens of kinds, few mixes recur.
 *
 * <p>Measurements arrive late, so the caller passes the kinds that ran beside the service at the time of the
 * measurement, taken from {@link PlacementHistory}. Not thread-safe.
 */
public final class InterferenceModel {
    private static final double HALF_CONFIDENCE_WEIGHT = 3;
    private static final double MIN_GAIN = 0.1;
    private static final double MAX_WEIGHT = 50;

    private static final PairEstimate UNKNOWN = new PairEstimate(0, 0);

    private final Map<Pair, Learned[]> pairs = new HashMap<>();

    private InterferenceModel() {}

    /**
     * Returns an empty model.
     *
     * @return a model without any pair
     */
    public static InterferenceModel create() {
        return new InterferenceModel();
    }

    /**
     * Updates the model from one measurement.
     *
     * @param service the kind of service
     * @param beside the rates of the kinds of batch work on the host at the time of the measurement, above 0 up to 1
     * @param band the load of the host's services at that time
     * @param slowdown the ratio of the run time to the undisturbed run time, excluding the effect of CPU shortage
     */
    public void observe(String service, Map<String, Double> beside, LoadBand band, double slowdown) {
        Map<String, Double> ordered = new TreeMap<>(beside);
        double predicted = 1;
        double gains = 0;
        for (Map.Entry<String, Double> batch : ordered.entrySet()) {
            Learned learned = learned(service, batch.getKey(), band);
            predicted += batch.getValue() * learned.added;
            gains += batch.getValue() * learned.gain();
        }
        double difference = slowdown - predicted;
        for (Map.Entry<String, Double> batch : ordered.entrySet()) {
            Learned learned = learned(service, batch.getKey(), band);
            double part = batch.getValue() * learned.gain() / gains;
            learned.learn(difference * part, part);
        }
    }

    /**
     * Returns the estimate for a pair.
     *
     * @param service the kind of service
     * @param batch the kind of batch work
     * @param band the load of the host's services
     * @return the estimate; not known if there were too few measurements
     */
    public PairEstimate estimate(String service, String batch, LoadBand band) {
        Learned[] bands = pairs.get(new Pair(service, batch));
        return bands == null ? UNKNOWN : bands[band.ordinal()].estimate();
    }

    /**
     * Returns the worst known estimate for a pair at the given load or above, because the load may rise while the work
     * runs.
     *
     * @param service the kind of service
     * @param batch the kind of batch work
     * @param band the load of the host's services now
     * @return the estimate; that of the given load if none is known
     */
    public PairEstimate worst(String service, String batch, LoadBand band) {
        Learned[] bands = pairs.get(new Pair(service, batch));
        if (bands == null) {
            return UNKNOWN;
        }
        PairEstimate worst = bands[band.ordinal()].estimate();
        for (int higher = band.ordinal() + 1; higher < bands.length; higher++) {
            PairEstimate other = bands[higher].estimate();
            if (other.isKnown() && (!worst.isKnown() || other.added() > worst.added())) {
                worst = other;
            }
        }
        return worst;
    }

    /**
     * Returns the contents of the model.
     *
     * @return one entry per pair and band; empty for an empty model
     */
    public List<PairSummary> summary() {
        List<PairSummary> lines = new ArrayList<>();
        pairs.forEach((pair, bands) -> {
            for (LoadBand band : LoadBand.values()) {
                Learned learned = bands[band.ordinal()];
                lines.add(new PairSummary(pair.service, pair.batch, band, learned.added, learned.weight));
            }
        });
        return lines;
    }

    /**
     * Restores the contents from another leader's summary.
     *
     * @param summary the summary of the other leader's model
     */
    public void restore(List<PairSummary> summary) {
        for (PairSummary line : summary) {
            Learned learned = learned(line.service(), line.batch(), line.band());
            learned.added = line.added();
            learned.weight = line.weight();
        }
    }

    private Learned learned(String service, String batch, LoadBand band) {
        return pairs.computeIfAbsent(new Pair(service, batch), p -> emptyBands())[band.ordinal()];
    }

    private static Learned[] emptyBands() {
        Learned[] bands = new Learned[LoadBand.values().length];
        for (int i = 0; i < bands.length; i++) {
            bands[i] = new Learned();
        }
        return bands;
    }

    private record Pair(String service, String batch) {}

    private static final class Learned {
        private double added;
        private double weight;

        PairEstimate estimate() {
            return new PairEstimate(added, weight / (weight + HALF_CONFIDENCE_WEIGHT));
        }

        double gain() {
            return Math.max(MIN_GAIN, 1 / (1 + weight));
        }

        void learn(double difference, double part) {
            added = Math.max(0, added + gain() * difference);
            weight = Math.min(MAX_WEIGHT, weight + part);
        }
    }
}
