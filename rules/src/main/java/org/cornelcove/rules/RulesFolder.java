package org.cornelcove.rules;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.rule.RuleSet;

/**
 * The operators' folder of rules: small {@code *.yaml} files, merged in the order of their names.
 *
 * <p>Each file may hold the sections {@code services}, {@code tenants} and {@code teams}, whose entries are rules by
 * name, and {@code batch}, a single rule. A rule replaces the whole rule of the same name in an earlier file: a key that
 * it leaves out has its default, not the earlier file's value. Merging key by key was rejected because no single file
 * would then show the rule in force. {@code withdraw: true} in place of a rule removes the rule of earlier files:
 *
 * <pre>
 * 10-booking.yaml    services: {booking: {pathPrefix: /booking, class: exclusive, deadline: 800ms}}
 * 50-closed.yaml     services: {booking: {withdraw: true}}
 * </pre>
 *
 * <p>Reading does not stop at an error: all errors of all files are returned together, ordered by file and line.
 * Subfolders and files whose name starts with a dot are ignored.
 */
public final class RulesFolder {
    private static final int MAX_FILES = 10_000;
    private static final long MAX_TOTAL_BYTES = 16L << 20;

    private RulesFolder() {}

    /**
     * Reads, validates and merges the rules of a folder.
     *
     * @param folder the folder
     * @return the merged rules, or all errors ordered by file and line
     */
    public static Either<List<Failure>, RuleSet> read(Path folder) {
        List<Path> files;
        try {
            files = filesIn(folder);
        } catch (IOException e) {
            return Either.left(List.of(Failure.of(ErrorKind.RULES_FOLDER_UNREADABLE, folder, YamlFile.reason(e))));
        }
        return tooLarge(folder, files).map(Either::<List<Failure>, RuleSet>left).getOrElse(() -> merge(files));
    }

    private static List<Path> filesIn(Path folder) throws IOException {
        if (Files.exists(folder) && !Files.isDirectory(folder)) {
            throw new IOException("it is not a folder");
        }
        try (Stream<Path> entries = Files.list(folder)) {
            return entries.filter(RulesFolder::isRulesFile)
                    .sorted(Comparator.comparing(RulesFolder::nameOf))
                    .toList();
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private static boolean isRulesFile(Path path) {
        String name = nameOf(path);
        return !name.startsWith(".") && (name.endsWith(".yaml") || name.endsWith(".yml"));
    }

    private static String nameOf(Path path) {
        return path.getFileName().toString();
    }

    private static Option<List<Failure>> tooLarge(Path folder, List<Path> files) {
        if (files.size() > MAX_FILES) {
            return Option.of(List.of(Failure.of(ErrorKind.RULES_FOLDER_TOO_LARGE, folder, MAX_FILES + " files")));
        }
        long totalBytes =
                files.stream().mapToLong(file -> file.toFile().length()).sum();
        if (totalBytes > MAX_TOTAL_BYTES) {
            return Option.of(List.of(Failure.of(ErrorKind.RULES_FOLDER_TOO_LARGE, folder, MAX_TOTAL_BYTES + " bytes")));
        }
        return Option.none();
    }

    private static Either<List<Failure>, RuleSet> merge(List<Path> files) {
        List<Failure> failures = new ArrayList<>();
        RuleMerge merge = new RuleMerge();
        for (Path file : files) {
            ErrorCollector errors = new ErrorCollector(file.toString());
            if (nameOf(file).endsWith(".yml")) {
                errors.add(Failure.of(ErrorKind.RULES_FILE_NAME, file));
            } else {
                RulesFile.read(file, errors)
                        .ifPresentOrElse(parsed -> merge.add(parsed, errors), merge::markIncomplete);
            }
            failures.addAll(errors.failures());
        }
        failures.addAll(merge.prefixConflicts());
        return failures.isEmpty() ? Either.right(merge.result()) : Either.left(List.copyOf(failures));
    }
}
