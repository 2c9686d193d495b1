package org.cornelcove.model.message;

/**
 * A target's announcement as an entry relays it to the leader.
 *
 * @param announcement the announcement as the target sent it
 * @param ageMs the time since the entry received it, in milliseconds
 */
public record HeardTarget(TargetAnnouncement announcement, long ageMs) {}
