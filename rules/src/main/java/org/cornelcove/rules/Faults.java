package org.cornelcove.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.yaml.snakeyaml.nodes.Node;

/** Collects the faults of one file, so that all of them are reported together, in the order of their lines. */
final class Faults {
    private static final int MAX_SHOWN_CHARACTERS = 120;
    private static final int MAX_SHOWN_FAULTS = 100;

    private final String file;
    private final List<Fault> found = new ArrayList<>();
    private int notShown;

    private record Fault(int line, Failure failure) {}

    Faults(String file) {
        this.file = file;
    }

    static int lineOf(Node node) {
        return node.getStartMark().getLine() + 1;
    }

    /** Adds a fault whose template starts with file and line. */
    void addAt(int line, ErrorKind kind, Object... rest) {
        Object[] arguments = new Object[rest.length + 2];
        arguments[0] = file;
        arguments[1] = line;
        for (int index = 0; index < rest.length; index++) {
            arguments[index + 2] = shown(rest[index].toString());
        }
        add(new Fault(line, Failure.of(kind, arguments)));
    }

    /** Adds a fault of the file as a whole. */
    void add(Failure failure) {
        add(new Fault(0, failure));
    }

    private void add(Fault fault) {
        if (found.size() < MAX_SHOWN_FAULTS) {
            found.add(fault);
        } else {
            notShown++;
        }
    }

    String file() {
        return file;
    }

    boolean isEmpty() {
        return found.isEmpty();
    }

    List<Failure> failures() {
        Stream<Failure> shown = found.stream()
                .sorted(Comparator.comparingInt(Fault::line))
                .map(Fault::failure)
                .distinct();
        Stream<Failure> rest =
                notShown == 0 ? Stream.empty() : Stream.of(Failure.of(ErrorKind.RULES_MORE_FAULTS, file, notShown));
        return Stream.concat(shown, rest).toList();
    }

    /** Makes a text from a file safe to print on one line. */
    static String shown(String text) {
        String plain = text.replaceAll("[\\p{Cc}\\p{Cf}\u2028\u2029]", "?");
        return plain.length() <= MAX_SHOWN_CHARACTERS ? plain : plain.substring(0, MAX_SHOWN_CHARACTERS) + "...";
    }
}
