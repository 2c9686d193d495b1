package org.cornelcove.model.view;

import org.cornelcove.model.id.EntryId;

/**
 * An entry that is missing from an answer about the cluster.
 *
 * @param entry its name
 * @param reason why it is missing
 */
public record EntryGap(EntryId entry, String reason) {}
