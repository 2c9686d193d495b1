package org.cornelcove.control.state;

import org.cornelcove.model.id.TargetId;

/**
 * The ownership of one target.
 *
 * @param target the target
 * @param ownership who owns it
 * @param changedIndex the log index of the last change
 */
public record TargetOwnership(TargetId target, Ownership ownership, long changedIndex) {}
