package org.cornelcove.cli.command;

import java.util.List;
import java.util.stream.Collectors;

import org.cornelcove.cli.output.ExitCode;
import org.cornelcove.cli.output.Text;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.view.Coverage;
import org.cornelcove.model.view.EntryGap;

/** Formats which entries an answer covers and which are missing. */
final class CoverageText {
    private CoverageText() {}

    static ExitCode exitCode(Coverage coverage) {
        return coverage.whole() ? ExitCode.OK : ExitCode.PARTIAL;
    }

    /** Formats one line for the entries that answered, one for each that did not, and one for those not asked. */
    static String of(Coverage coverage) {
        StringBuilder text = new StringBuilder("answered: " + names(coverage.answered()) + "\n");
        if (!coverage.entriesKnown()) {
            text.append("PARTIAL: no leader listed the other entries; ask each of them by --endpoint\n");
        }
        for (EntryGap gap : coverage.unanswered()) {
            text.append("PARTIAL: no answer of ")
                    .append(gap.entry())
                    .append(": ")
                    .append(Text.printable(gap.reason()))
                    .append('\n');
        }
        if (!coverage.silent().isEmpty()) {
            text.append("not asked, being silent: ")
                    .append(names(coverage.silent()))
                    .append('\n');
        }
        return text.toString();
    }

    private static String names(List<EntryId> entries) {
        return entries.isEmpty()
                ? "none"
                : entries.stream().map(EntryId::toString).collect(Collectors.joining(", "));
    }
}
