package org.cornelcove.cli.output;

/** Makes untrusted text safe for a terminal. */
public final class Text {
    private Text() {}

    /**
     * Replaces control, format and line-break characters by question marks.
     *
     * @param text any text
     * @return the text on one line
     */
    public static String printable(String text) {
        return text.replaceAll("[\\p{Cc}\\p{Cf}\\u2028\\u2029]", "?");
    }
}
