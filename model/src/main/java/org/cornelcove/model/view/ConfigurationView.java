package org.cornelcove.model.view;

import org.cornelcove.model.rule.RuleSet;

/**
 * The newest accepted configuration.
 *
 * @param version rises with each accepted change, 0 before the first
 * @param changeNumber the number under which it was proposed
 * @param operator the name of the operator who proposed it
 * @param digest hex SHA-256 of the canonical rules
 * @param rules the rules
 */
public record ConfigurationView(long version, long changeNumber, String operator, String digest, RuleSet rules) {}
