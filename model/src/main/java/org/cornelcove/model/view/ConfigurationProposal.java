package org.cornelcove.model.view;

import org.cornelcove.model.rule.RuleSet;

/**
 * Proposes a complete set of rules. A resend with the same number and digest returns the first answer.
 *
 * @param changeNumber chosen by the operator, above that of the version it builds on
 * @param operator the name of the proposing operator
 * @param digest hex SHA-256 of the canonical rules
 * @param rules the rules
 */
public record ConfigurationProposal(long changeNumber, String operator, String digest, RuleSet rules) {}
