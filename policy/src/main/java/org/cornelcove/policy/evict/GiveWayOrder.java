package org.cornelcove.policy.evict;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.message.AttemptAction;

/**
 * What one batch attempt is to do.
 *
 * @param attempt the attempt
 * @param action {@code THROTTLE}, {@code EVICT}, or {@code RUN} at full rate again
 */
public record GiveWayOrder(AttemptId attempt, AttemptAction action) {}
