package org.cornelcove.replication.core;

/**
 * A member's term and vote; must be durable before any message that depends on it is sent.
 *
 * @param term the newest term seen
 * @param votedFor the id of the member voted for in that term, 0 for none
 */
public record Vote(long term, long votedFor) {}
