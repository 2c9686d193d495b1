package org.cornelcove.replication.core;

import java.util.List;

/**
 * The content of a member's data folder at start.
 *
 * @param incarnation the identity of the data folder
 * @param vote the last durable term and vote
 * @param snapshot the newest snapshot
 * @param entries the log entries, at ascending indices without gaps; the first may be at or before the snapshot's index
 */
public record StoredState(long incarnation, Vote vote, SnapshotMeta snapshot, List<LogEntry> entries) {}
