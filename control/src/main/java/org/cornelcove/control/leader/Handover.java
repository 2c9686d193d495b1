package org.cornelcove.control.leader;

/**
 * The change of owner that led to an epoch, as far as its requests may still matter.
 *
 * @param epoch the epoch that it began
 * @param dispatchableMs until then the previous owner may still dispatch, so the new one gets no grant for a target
 * @param heldUntilMs until then requests of the previous owner may still run
 */
record Handover(long epoch, long dispatchableMs, long heldUntilMs) {}
