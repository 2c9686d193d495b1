package org.cornelcove.control.view;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;

/**
 * One target as the leader sees it.
 *
 * @param target its name
 * @param service its service, empty while not heard
 * @param owner the entry that dispatches to it
 * @param epoch the ownership epoch
 * @param silentMs the time since it was last heard of, -1 while not heard
 */
public record TargetStatus(TargetId target, String service, Optional<EntryId> owner, long epoch, long silentMs) {}
