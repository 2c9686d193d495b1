package org.cornelcove.model.message;

/**
 * An announcement as relayed to the leader.
 *
 * @param announcement the target's words
 * @param ageMs the time since it was received
 */
public record HeardTarget(TargetAnnouncement announcement, long ageMs) {}
