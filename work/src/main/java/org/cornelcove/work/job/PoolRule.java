package org.cornelcove.work.job;

/**
 * One pool of workers of the operator's rules.
 *
 * @param name its name
 * @param guarded whether its workers refuse what does not fit
 * @param standby whether its hosts are off
 */
public record PoolRule(String name, boolean guarded, boolean standby) {}
