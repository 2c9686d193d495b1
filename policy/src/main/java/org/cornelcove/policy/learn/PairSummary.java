package org.cornelcove.policy.learn;

/**
 * What was learned of one pair, to be carried over a change of leader.
 *
 * @param service the kind of service
 * @param batch the kind of batch work
 * @param band the load at which it was measured
 * @param added the share added to the service's run time
 * @param weight the measurements behind it
 */
public record PairSummary(String service, String batch, LoadBand band, double added, double weight) {}
