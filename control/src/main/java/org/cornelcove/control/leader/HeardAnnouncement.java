package org.cornelcove.control.leader;

import org.cornelcove.model.message.TargetAnnouncement;

/**
 * The newest announcement of a target.
 *
 * @param announcement the announcement as the target sent it
 * @param heardMs when an entry received it, on the leader's clock
 */
record HeardAnnouncement(TargetAnnouncement announcement, long heardMs) {}
