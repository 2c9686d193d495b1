package org.cornelcove.control.state;

import org.cornelcove.model.rule.RuleSet;

/**
 * The configuration in its newest version.
 *
 * @param version rises by one with each accepted proposal, 0 before the first
 * @param changeNumber the operator's number
 * @param operator who proposed it
 * @param digest of the rules
 * @param rules the rules
 */
public record ConfigurationRecord(long version, long changeNumber, String operator, String digest, RuleSet rules) {
    /** The configuration of a new cluster. */
    static final ConfigurationRecord NONE = new ConfigurationRecord(0, 0, "", "", RuleSet.empty());
}
