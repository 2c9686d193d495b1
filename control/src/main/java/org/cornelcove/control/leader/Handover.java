package org.cornelcove.control.leader;

/**
 * The change of owner that started an epoch, with the times until which the previous owner may still act.
 *
 * @param epoch the epoch that the change started
 * @param dispatchableMs until then the previous owner may still dispatch, so the new one gets no grant for a target
 * @param heldUntilMs until then requests of the previous owner may still run
 */
record Handover(long epoch, long dispatchableMs, long heldUntilMs) {}
