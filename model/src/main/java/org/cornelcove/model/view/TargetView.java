package org.cornelcove.model.view;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;

/**
 * One target.
 *
 * @param name its name
 * @param service the service it belongs to
 * @param availabilityZone where it runs, empty while the leader has not heard it
 * @param owner the entry that dispatches to it, empty while none does
 * @param state whether it is given work
 */
public record TargetView(
        TargetId name, String service, String availabilityZone, Optional<EntryId> owner, TargetState state) {}
