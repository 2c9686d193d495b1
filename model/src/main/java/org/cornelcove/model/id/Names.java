package org.cornelcove.model.id;

import java.util.regex.Pattern;

/** The rule that every name in the system follows. */
public final class Names {
    private static final Pattern SHAPE = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    private Names() {}

    /**
     * Returns whether the text is a valid name.
     *
     * @param text the text, may be null
     * @return false for null
     */
    public static boolean isName(String text) {
        return text != null && SHAPE.matcher(text).matches();
    }

    static void check(String text) {
        if (!isName(text)) {
            throw new IllegalArgumentException("not a name: '" + text
                    + "'; use 1 to 128 letters, digits, '.', '-' or '_', starting with a letter or digit");
        }
    }
}
