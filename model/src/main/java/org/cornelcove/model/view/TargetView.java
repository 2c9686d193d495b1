package org.cornelcove.model.view;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.TargetId;

/**
 * One target.
 *
 * @param name its name
 * @param service the service it belongs to
 * @param availabilityZone the availability zone it runs in, empty until its announcement reaches the leader
 * @param owner the entry that dispatches to it, empty while none does
 * @param state whether it receives requests
 */
public record TargetView(
        TargetId name, String service, String availabilityZone, Optional<EntryId> owner, TargetState state) {}
