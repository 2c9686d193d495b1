package org.cornelcove.model.view;

import java.util.List;

import org.cornelcove.model.id.EntryId;

/**
 * Whether a version, or a later one, is in force at every entry.
 *
 * @param version the version in question
 * @param inForce whether it is in force everywhere
 * @param waitingFor the entries that have neither acknowledged it nor lost their configuration lease
 */
public record InForceView(long version, boolean inForce, List<EntryId> waitingFor) {}
