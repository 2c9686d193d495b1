package org.cornelcove.cli.output;

import java.io.PrintWriter;
import java.util.List;

import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.ErrorView;

/**
 * The failures of a command as {@code --json} shows them.
 *
 * @param errors at least one
 */
public record Errors(List<ErrorView> errors) {
    /** Prints failures, one per line or together as JSON. */
    public static void print(List<Failure> failures, boolean json, PrintWriter err) {
        if (json) {
            err.println(
                    Json.write(new Errors(failures.stream().map(Errors::view).toList())));
        } else {
            failures.forEach(failure -> err.println(Text.printable(failure.toString())));
        }
        err.flush();
    }

    private static ErrorView view(Failure failure) {
        return new ErrorView(
                failure.kind().number(),
                failure.kind().name(),
                failure.kind().severity().name(),
                failure.message());
    }
}
