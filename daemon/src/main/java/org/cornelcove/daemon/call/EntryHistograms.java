package org.cornelcove.daemon.call;

import java.util.List;

import org.cornelcove.entry.RecordedHistogram;

/**
 * The histograms of one entry.
 *
 * @param histograms the histograms with all their buckets
 */
public record EntryHistograms(List<RecordedHistogram> histograms) {}
