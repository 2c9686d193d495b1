package org.cornelcove.policy.learn;

/**
 * The model's contents for one pair and load band, for transfer to a new leader.
 *
 * @param service the kind of service
 * @param batch the kind of batch work
 * @param band the load at which it was measured
 * @param added the relative increase of the service's run time
 * @param weight the accumulated weight of its measurements
 */
public record PairSummary(String service, String batch, LoadBand band, double added, double weight) {}
