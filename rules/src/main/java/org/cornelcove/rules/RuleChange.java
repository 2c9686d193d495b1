package org.cornelcove.rules;

/**
 * One difference between two sets of rules.
 *
 * @param type what happened to the rule
 * @param rule the rule's section and name
 * @param detail the rule's keys, or for a changed rule the keys that differ with old and new value
 */
public record RuleChange(Type type, String rule, String detail) {
    /** What happened to a rule. */
    public enum Type {
        /** Only the new set has it. */
        ADDED("+"),
        /** Only the old set has it. */
        REMOVED("-"),
        /** Both have it, with other values. */
        CHANGED("~");

        private final String sign;

        Type(String sign) {
            this.sign = sign;
        }
    }

    @Override
    public String toString() {
        return type.sign + " " + rule + ": " + detail;
    }
}
