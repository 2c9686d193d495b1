package org.cornelcove.model.view;

import java.util.List;

import org.cornelcove.model.id.EntryId;

/**
 * The steps of a request that one entry recorded.
 *
 * @param entry the entry
 * @param lines one line for each step, oldest first
 */
public record EntryTrace(EntryId entry, List<String> lines) {}
