package org.cornelcove.replication.core;

/**
 * One entry of the log.
 *
 * @param index the position in the log, from 1
 * @param term the term of the leader that appended it
 * @param kind the type of the payload
 * @param payload the content; must not be modified
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] payload) {}
