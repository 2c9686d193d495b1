package org.cornelcove.cli.command;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.vavr.control.Either;
import org.cornelcove.cli.output.Report;
import org.cornelcove.cli.output.Table;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.ErrorView;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Lists the numbered errors of the whole system. */
@Command(
        name = "errors",
        description = "Lists the numbered errors of daemon and command line, with their remedies.",
        footer = {"", "Examples:", "  cornelcove errors", "  cornelcove errors 502"})
final class ErrorsCommand extends ReportingCommand {
    /** Arguments for the placeholders, more than any template has. */
    private static final Object[] ELLIPSES = Collections.nCopies(20, "...").toArray();

    @Parameters(
            arity = "0..1",
            paramLabel = "NUMBER",
            converter = Amounts.Positive.class,
            description = "Only the error of this number.")
    private Long number;

    @Override
    Either<List<Failure>, Report> execute() {
        List<ErrorView> shown = Arrays.stream(ErrorKind.values())
                .filter(kind -> Optional.ofNullable(number).orElse((long) kind.number()) == kind.number())
                .map(kind -> new ErrorView(
                        kind.number(), kind.name(), kind.severity().name(), kind.message(ELLIPSES)))
                .toList();
        if (shown.isEmpty()) {
            return usage("no error has the number " + number + "; 'errors' without a number lists all");
        }
        Table table = Table.of("NUMBER", "SEVERITY", "MESSAGE");
        shown.forEach(error -> table.row(error.number(), error.severity().toLowerCase(Locale.ROOT), error.message()));
        return Either.right(Report.of(shown, table.render()));
    }
}
