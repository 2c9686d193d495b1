package org.cornelcove.replication.core;

import java.util.List;

/**
 * What a member finds in its data folder at start.
 *
 * @param incarnation the identity of the data folder
 * @param vote the last promise
 * @param snapshot the newest snapshot
 * @param entries the entries of the log, rising without gaps; may begin before the snapshot's end
 */
public record StoredState(long incarnation, Vote vote, SnapshotMeta snapshot, List<LogEntry> entries) {}
