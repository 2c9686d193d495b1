package org.cornelcove.model.view;

import java.util.List;

import org.cornelcove.model.id.EntryId;

/**
 * What one entry knows of a request.
 *
 * @param entry the entry
 * @param lines one step each, oldest first
 */
public record EntryTrace(EntryId entry, List<String> lines) {}
