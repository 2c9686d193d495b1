/**
 * Reads, checks and merges the operators' folder of rules.
 *
 * <p>{@link org.cornelcove.rules.RulesFolder} is the way in; {@link org.cornelcove.rules.CanonicalRules} names a set of
 * rules by its digest and {@link org.cornelcove.rules.RuleDiff} tells two sets apart.
 */
package org.cornelcove.rules;
