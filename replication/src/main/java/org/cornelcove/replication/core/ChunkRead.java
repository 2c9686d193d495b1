package org.cornelcove.replication.core;

/**
 * Asks the disk for a piece of the newest snapshot file, to be sent as a {@link Message.SnapshotChunk}. Nothing is sent
 * when the newest snapshot is another one by then.
 *
 * @param address the receiver's address
 * @param envelope the message with no data in it yet
 * @param lengthBytes how much to read
 */
public record ChunkRead(String address, Envelope envelope, int lengthBytes) {}
