package org.cornelcove.cli.output;

/**
 * What a command has to say once it is done.
 *
 * @param json the value that {@code --json} shows
 * @param text what people see, with its line breaks
 * @param exitCode the code that the process ends with
 */
public record Report(Object json, String text, ExitCode exitCode) {
    /** Returns a report of success. */
    public static Report of(Object json, String text) {
        return new Report(json, text, ExitCode.OK);
    }

    /** Returns a report of success in one line. */
    public static Report line(Object json, String line) {
        return of(json, Text.printable(line) + "\n");
    }
}
