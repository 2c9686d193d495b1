package org.cornelcove.cli.output;

/** Makes texts from elsewhere safe for a terminal. */
public final class Text {
    private Text() {}

    /**
     * Replaces characters that steer a terminal.
     *
     * @param text any text
     * @return the text on one line
     */
    public static String printable(String text) {
        return text.replaceAll("[\\p{Cc}\\p{Cf}\\u2028\\u2029]", "?");
    }
}
