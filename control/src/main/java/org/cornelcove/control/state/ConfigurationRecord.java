package org.cornelcove.control.state;

import org.cornelcove.model.rule.RuleSet;

/**
 * The newest version of the configuration.
 *
 * @param version rises by one with each accepted proposal, 0 before the first
 * @param changeNumber the number that the operator gave the change
 * @param operator who proposed it
 * @param digest the digest of the rules
 * @param rules the rules
 */
public record ConfigurationRecord(long version, long changeNumber, String operator, String digest, RuleSet rules) {
    /** The configuration of a new cluster. */
    static final ConfigurationRecord NONE = new ConfigurationRecord(0, 0, "", "", RuleSet.empty());
}
