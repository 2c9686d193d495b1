package org.cornelcove.replication.core;

/**
 * One entry of the log.
 *
 * @param index the position, from 1
 * @param term the term of the leader that appended it
 * @param kind what the payload is
 * @param payload the content, never altered
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] payload) {}
