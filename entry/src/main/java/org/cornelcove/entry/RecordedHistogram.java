package org.cornelcove.entry;

/**
 * One histogram with all its buckets, so that those of several entries can be merged without loss.
 *
 * @param name what it measures, by tenant or class
 * @param compressed the histogram as HdrHistogram compresses it
 */
public record RecordedHistogram(String name, byte[] compressed) {}
