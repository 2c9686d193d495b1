package org.cornelcove.model.view;

/**
 * The answer to an accepted proposal.
 *
 * @param version the version it became
 */
public record ConfigurationAccepted(long version) {}
