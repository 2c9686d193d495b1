package org.cornelcove.control.state;

import org.cornelcove.model.id.EntryId;

/**
 * One registered entry.
 *
 * @param entry its name
 * @param incarnation its newest incarnation; earlier ones are fenced
 */
public record EntryRecord(EntryId entry, long incarnation) {}
