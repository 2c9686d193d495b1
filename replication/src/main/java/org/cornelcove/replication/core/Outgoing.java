package org.cornelcove.replication.core;

/**
 * A message to send.
 *
 * @param address where to
 * @param envelope what
 */
public record Outgoing(String address, Envelope envelope) {}
