package org.cornelcove.cli.output;

/**
 * The output of a command that has a result, complete or not.
 *
 * @param json the value that {@code --json} shows
 * @param text the text shown without {@code --json}, with its line breaks
 * @param exitCode the code that the process ends with
 */
public record Report(Object json, String text, ExitCode exitCode) {
    /** Returns a report with exit code 0. */
    public static Report of(Object json, String text) {
        return new Report(json, text, ExitCode.OK);
    }

    /** Returns a report of one line with exit code 0. */
    public static Report line(Object json, String line) {
        return of(json, Text.printable(line) + "\n");
    }
}
