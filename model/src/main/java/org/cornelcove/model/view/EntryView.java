package org.cornelcove.model.view;

import org.cornelcove.model.id.EntryId;

/**
 * One entry.
 *
 * @param name its name
 * @param availabilityZone where it runs
 * @param configurationVersion the configuration that it has in force
 * @param live whether its lease is valid
 */
public record EntryView(EntryId name, String availabilityZone, long configurationVersion, boolean live) {}
