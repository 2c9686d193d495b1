package org.cornelcove.model.view;

/**
 * The figures of one histogram.
 *
 * @param name what it measures, by tenant or class
 * @param count how many values it holds
 * @param p50Us the median, in microseconds
 * @param p90Us the 90th percentile, in microseconds
 * @param p99Us the 99th percentile, in microseconds
 * @param maxUs the largest value, in microseconds
 */
public record HistogramView(String name, long count, long p50Us, long p90Us, long p99Us, long maxUs) {}
