package org.cornelcove.entry;

/**
 * One histogram with all buckets, so that the histograms of several entries can be merged without loss.
 *
 * @param name the metric name, by tenant or class
 * @param compressed the histogram in the compressed HdrHistogram encoding
 */
public record RecordedHistogram(String name, byte[] compressed) {}
