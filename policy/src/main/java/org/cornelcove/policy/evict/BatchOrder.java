package org.cornelcove.policy.evict;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.message.AttemptAction;

/**
 * An order to a batch attempt on a loaded host.
 *
 * @param attempt the attempt
 * @param action {@code THROTTLE}, {@code EVICT}, or {@code RUN} to run at full rate again
 */
public record BatchOrder(AttemptId attempt, AttemptAction action) {}
