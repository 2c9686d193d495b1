package org.cornelcove.rules;

/**
 * One difference between two sets of rules.
 *
 * @param type the kind of change
 * @param rule the rule's section and name
 * @param detail the keys and values of the rule, or for a changed rule the keys that differ with old and new value
 */
public record RuleChange(Type type, String rule, String detail) {
    /** The kind of change. */
    public enum Type {
        /** Only the new set has the rule. */
        ADDED("+"),
        /** Only the old set has the rule. */
        REMOVED("-"),
        /** Both sets have the rule, with different values. */
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
