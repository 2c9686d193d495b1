package org.cornelcove.replication.core;

/**
 * What a member promised; must be durable before any message that rests on it is sent.
 *
 * @param term the newest term seen
 * @param votedFor who got the vote in that term, 0 for nobody
 */
public record Vote(long term, long votedFor) {}
