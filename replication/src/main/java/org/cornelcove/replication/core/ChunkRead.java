package org.cornelcove.replication.core;

/**
 * A request to read a chunk of the newest snapshot file and send it as a {@link Message.SnapshotChunk}. Nothing is sent
 * if a newer snapshot has replaced the file by then.
 *
 * @param address the receiver's address
 * @param envelope the message, with an empty chunk
 * @param lengthBytes the number of bytes to read
 */
public record ChunkRead(String address, Envelope envelope, int lengthBytes) {}
