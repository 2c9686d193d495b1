package org.cornelcove.replication.core;

/**
 * A message with its sender and receiver.
 *
 * @param from the sender
 * @param fromIncarnation the sender's data folder
 * @param fromAddress where the sender is reached
 * @param to the receiver
 * @param toIncarnation the receiver's data folder as far as the sender knows it, else {@link MemberRecord#UNBOUND}
 * @param term the sender's term
 * @param body what is said
 */
public record Envelope(
        long from, long fromIncarnation, String fromAddress, long to, long toIncarnation, long term, Message body) {}
