package org.cornelcove.work.job;

/**
 * The rule of one pool of workers.
 *
 * @param name the name of the pool
 * @param guarded whether its workers reject tasks that do not fit
 * @param standby whether its hosts are switched off
 */
public record PoolRule(String name, boolean guarded, boolean standby) {}
