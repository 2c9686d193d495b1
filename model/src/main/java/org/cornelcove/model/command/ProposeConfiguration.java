package org.cornelcove.model.command;

import org.cornelcove.model.rule.RuleSet;

/**
 * Proposes a complete set of rules under the operator's change number.
 *
 * @param changeNumber chosen by the operator, higher than that of the version it builds on
 * @param operator the name of the proposing operator
 * @param digest hex SHA-256 of the canonical rules
 * @param rules the rules
 */
public record ProposeConfiguration(long changeNumber, String operator, String digest, RuleSet rules)
        implements Command {}
