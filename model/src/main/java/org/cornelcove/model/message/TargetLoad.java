package org.cornelcove.model.message;

import org.cornelcove.model.id.TargetId;

/**
 * What is new about a target whose grant is otherwise as it was.
 *
 * @param target the target
 * @param silentMs the time since it was last heard of
 * @param busySlots slots taken when it wrote its last announcement
 */
public record TargetLoad(TargetId target, long silentMs, int busySlots) {}
