package org.cornelcove.policy.learn;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which kinds of batch work slow which kinds of service down, learned by load band.
 *
 * <p>Additive: the slowdown of a service on a host is 1 plus the shares that the kinds of batch work beside it add. A
 * measurement is compared with the prediction and the difference divided between the pairs in force, the less known
 * pairs taking more. One sample of a host with several kinds says little about each; over many hosts with different
 * mixes the shares separate. Learning whole mixes instead lost: with tens of kinds hardly a mix is seen twice.
 *
 * <p>Measurements arrive late, so the caller passes the kinds that were beside the service when it was measured, from
 * {@link PlacementHistory}. Not thread-safe.
 */
public final class InterferenceModel {
    private static final double HALF_CONFIDENCE_WEIGHT = 3;
    private static final double MIN_GAIN = 0.1;
    private static final double MAX_WEIGHT = 50;

    private static final PairEstimate UNKNOWN = new PairEstimate(0, 0);

    private final Map<Pair, Learned[]> pairs = new HashMap<>();

    private InterferenceModel() {}

    /**
     * Returns a model that knows nothing.
     *
     * @return the model
     */
    public static InterferenceModel create() {
        return new InterferenceModel();
    }

    /**
     * Learns from one measurement.
     *
     * @param service the kind of service
     * @param beside the kinds of batch work on the host when it was measured, each with the rate at which it ran
     * @param band the load of the host's services then
     * @param slowdown the run time over that of an undisturbed service, net of a lack of processors
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
     * Returns what is known of a pair.
     *
     * @param service the kind of service
     * @param batch the kind of batch work
     * @param band the load of the host's services
     * @return the estimate
     */
    public PairEstimate estimate(String service, String batch, LoadBand band) {
        Learned[] bands = pairs.get(new Pair(service, batch));
        return bands == null ? UNKNOWN : bands[band.ordinal()].estimate();
    }

    /**
     * Returns the worst that is known of a pair at a load or above it, since the crest comes while the work still runs.
     *
     * @param service the kind of service
     * @param batch the kind of batch work
     * @param band the load of the host's services now
     * @return the estimate, that of the given load when nothing is known
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
     * Returns all that was learned.
     *
     * @return one line for each pair and band
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
     * Takes over what another leader had learned.
     *
     * @param summary its summary
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
