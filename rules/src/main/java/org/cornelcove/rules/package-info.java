/**
 * Reads, validates and merges the operators' folder of rules.
 *
 * <p>{@link org.cornelcove.rules.RulesFolder} is the entry point; {@link org.cornelcove.rules.CanonicalRules} computes
 * the digest of a rule set and {@link org.cornelcove.rules.RuleDiff} compares two rule sets.
 */
package org.cornelcove.rules;
