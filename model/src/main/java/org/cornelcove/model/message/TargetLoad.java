package org.cornelcove.model.message;

import org.cornelcove.model.id.TargetId;

/**
 * The new load and age of announcement of a target whose grant is otherwise unchanged.
 *
 * @param target the target
 * @param silentMs the time since its last announcement, in milliseconds
 * @param busySlots the number of slots in use at its last announcement
 */
public record TargetLoad(TargetId target, long silentMs, int busySlots) {}
