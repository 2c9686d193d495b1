package org.cornelcove.model.command;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;

/**
 * Assigns a target to an entry, or to none, under the next epoch.
 *
 * @param target the target
 * @param owner the new owner, empty for none
 */
public record AssignTarget(TargetId target, Optional<EntryId> owner) implements Command {}
