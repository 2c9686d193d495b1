package org.cornelcove.model.view;

import java.util.List;

/**
 * The histograms of all entries, merged value by value.
 *
 * @param histograms by name
 * @param coverage the entries whose values they include
 */
public record ClusterHistograms(List<HistogramView> histograms, Coverage coverage) {}
