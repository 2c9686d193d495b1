package org.cornelcove.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.yaml.snakeyaml.nodes.Node;

/** Collects the errors of one file, so that all of them are reported together, ordered by line. */
final class ErrorCollector {
    private static final int MAX_SHOWN_CHARACTERS = 120;
    private static final int MAX_SHOWN_FAILURES = 100;

    private final String file;
    private final List<LocatedFailure> collected = new ArrayList<>();
    private int omittedCount;

    private record LocatedFailure(int line, Failure failure) {}

    ErrorCollector(String file) {
        this.file = file;
    }

    static int lineOf(Node node) {
        return node.getStartMark().getLine() + 1;
    }

    /** Adds an error whose message template starts with file and line. */
    void addAt(int line, ErrorKind kind, Object... rest) {
        Object[] arguments = new Object[rest.length + 2];
        arguments[0] = file;
        arguments[1] = line;
        for (int index = 0; index < rest.length; index++) {
            arguments[index + 2] = sanitize(rest[index].toString());
        }
        add(new LocatedFailure(line, Failure.of(kind, arguments)));
    }

    /** Adds an error of the file as a whole; it sorts before those with a line. */
    void add(Failure failure) {
        add(new LocatedFailure(0, failure));
    }

    private void add(LocatedFailure located) {
        if (collected.size() < MAX_SHOWN_FAILURES) {
            collected.add(located);
        } else {
            omittedCount++;
        }
    }

    String file() {
        return file;
    }

    boolean isEmpty() {
        return collected.isEmpty();
    }

    List<Failure> failures() {
        Stream<Failure> shown = collected.stream()
                .sorted(Comparator.comparingInt(LocatedFailure::line))
                .map(LocatedFailure::failure)
                .distinct();
        Stream<Failure> rest = omittedCount == 0
                ? Stream.empty()
                : Stream.of(Failure.of(ErrorKind.RULES_MORE_FAULTS, file, omittedCount));
        return Stream.concat(shown, rest).toList();
    }

    /** Replaces control and line separator characters and truncates, so that the text prints on one line. */
    static String sanitize(String text) {
        String plain = text.replaceAll("[\\p{Cc}\\p{Cf}\u2028\u2029]", "?");
        return plain.length() <= MAX_SHOWN_CHARACTERS ? plain : plain.substring(0, MAX_SHOWN_CHARACTERS) + "...";
    }
}
