package org.cornelcove.replication.core;

/**
 * A message to send.
 *
 * @param address the receiver's RPC address
 * @param envelope the message
 */
public record Outgoing(String address, Envelope envelope) {}
