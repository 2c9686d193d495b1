package org.cornelcove.replication.core;

/**
 * A message with its sender and receiver.
 *
 * @param from the sender's id
 * @param fromIncarnation the incarnation of the sender's data folder
 * @param fromAddress the sender's RPC address
 * @param to the receiver's id
 * @param toIncarnation the receiver's incarnation, {@link MemberRecord#UNBOUND} when the sender does not know it
 * @param term the sender's term; in a pre-vote the proposed term
 * @param body the message
 */
public record Envelope(
        long from, long fromIncarnation, String fromAddress, long to, long toIncarnation, long term, Message body) {}
