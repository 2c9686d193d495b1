package org.cornelcove.model.view;

import org.cornelcove.model.id.EntryId;

/**
 * One entry.
 *
 * @param name its name
 * @param availabilityZone the availability zone it runs in
 * @param configurationVersion the version of the configuration that it applies
 * @param live whether its lease is valid
 */
public record EntryView(EntryId name, String availabilityZone, long configurationVersion, boolean live) {}
