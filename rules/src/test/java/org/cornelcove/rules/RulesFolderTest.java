package org.cornelcove.rules;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.rule.RuleSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class RulesFolderTest {
    private static final Path CASES = Path.of("src/test/resources/cases");

    @TempDir
    private Path folder;

    static Stream<Path> cases() throws IOException {
        try (Stream<Path> folders = Files.list(CASES)) {
            return folders.sorted().toList().stream();
        }
    }

    /** Each case is a folder of rules and {@code expected.txt}: the merged rules as a diff from none, or the errors. */
    @ParameterizedTest
    @MethodSource("cases")
    void readsAsExpected(Path rules) throws IOException {
        assertThat(render(rules), is(Files.readString(rules.resolve("expected.txt"))));
    }

    private static String render(Path rules) {
        Either<List<Failure>, RuleSet> read = RulesFolder.read(rules);
        Stream<String> lines = read.isLeft()
                ? read.getLeft().stream().map(failure -> failure.toString().replace(rules + "/", ""))
                : RuleDiff.between(RuleSet.empty(), read.get()).stream().map(RuleChange::toString);
        return lines.map(line -> line + "\n").collect(Collectors.joining());
    }

    @Test
    void reportsMissingFolder() {
        List<Failure> failures = RulesFolder.read(folder.resolve("missing")).getLeft();
        assertThat(kinds(failures), contains(ErrorKind.RULES_FOLDER_UNREADABLE));
        assertThat(failures.get(0).message(), containsString("it does not exist"));
    }

    @Test
    void reportsFolderThatIsAFile() throws IOException {
        Path file = Files.writeString(folder.resolve("file"), "");
        List<Failure> failures = RulesFolder.read(file).getLeft();
        assertThat(kinds(failures), contains(ErrorKind.RULES_FOLDER_UNREADABLE));
    }

    @Test
    void reportsUnreadableFiles() throws IOException {
        Files.createDirectory(folder.resolve("10-folder.yaml"));
        Files.createSymbolicLink(folder.resolve("20-dangling.yaml"), folder.resolve("missing"));
        List<Failure> failures = RulesFolder.read(folder).getLeft();
        assertThat(kinds(failures), contains(ErrorKind.RULES_FILE_UNREADABLE, ErrorKind.RULES_FILE_UNREADABLE));
    }

    @Test
    void rejectsTooLargeFile() throws IOException {
        Files.writeString(folder.resolve("10-large.yaml"), "#".repeat(YamlFile.MAX_BYTES + 1));
        assertThat(kinds(RulesFolder.read(folder).getLeft()), contains(ErrorKind.RULES_TOO_LARGE));
    }

    @Test
    void rejectsTooLargeFolder() throws IOException {
        for (int file = 0; file < 17; file++) {
            Files.writeString(folder.resolve(file + ".yaml"), "#".repeat(YamlFile.MAX_BYTES));
        }
        assertThat(kinds(RulesFolder.read(folder).getLeft()), contains(ErrorKind.RULES_FOLDER_TOO_LARGE));
    }

    @Test
    void countsOmittedErrors() throws IOException {
        Files.writeString(folder.resolve("10.yaml"), "a:\n".repeat(1000));
        List<Failure> failures = RulesFolder.read(folder).getLeft();
        assertThat(failures.size(), is(101));
        assertThat(failures.get(100).message(), containsString("10.yaml has 900 more faults than are shown"));
    }

    @Test
    void reportsLineOfInvalidUtf8() throws IOException {
        Files.write(folder.resolve("10-bytes.yaml"), new byte[] {'#', '\n', '#', (byte) 0xff, '\n'});
        Failure failure = RulesFolder.read(folder).getLeft().get(0);
        assertThat(failure.message(), containsString("10-bytes.yaml:2: not valid YAML: not UTF-8 text"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"chhatri-setu", "sofia-grid-works"})
    void readsExampleRules(String example) {
        Path rules = Path.of("../examples/rules", example);
        assertThat(RulesFolder.read(rules).fold(Object::toString, read -> "read"), is("read"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"payouts.yaml", "feeder-run.yaml"})
    void readsExampleJobs(String example) {
        Path job = Path.of("../examples/jobs", example);
        assertThat(JobFile.read(job).fold(Object::toString, read -> "read"), is("read"));
    }

    private static List<ErrorKind> kinds(List<Failure> failures) {
        return failures.stream().map(Failure::kind).toList();
    }
}
