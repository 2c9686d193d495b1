package org.cornelcove.rules;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Supplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.id.Names;
import org.cornelcove.model.rule.BatchRule;
import org.yaml.snakeyaml.nodes.Node;

/** Reads the rules of one file; the rules themselves are read by {@link RuleReader}. */
final class RulesFile {
    private static final List<String> SECTIONS = List.of("services", "tenants", "teams", "batch");
    private static final String WITHDRAW = "withdraw";

    private final Faults faults;

    private RulesFile(Faults faults) {
        this.faults = faults;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @param faults takes what is wrong with it
     * @return its rules, those with faults missing or with defaults; empty where the file can't be parsed
     */
    static Optional<ParsedFile> read(Path path, Faults faults) {
        Optional<Node> root = YamlFile.read(path, faults);
        if (root.isEmpty()) {
            ParsedFile empty = new ParsedFile(Map.of(), Map.of(), Map.of(), Optional.empty());
            return faults.isEmpty() ? Optional.of(empty) : Optional.empty();
        }
        Fields sections = Fields.of(root.get(), "the file", faults);
        sections.knowOnly(SECTIONS);
        return Optional.of(new RulesFile(faults).read(sections));
    }

    private ParsedFile read(Fields sections) {
        return new ParsedFile(
                named(sections, "services", "service", RuleReader::service),
                named(sections, "tenants", "tenant", RuleReader::tenant),
                named(sections, "teams", "team", RuleReader::team),
                batch(sections));
    }

    private <T> Map<String, Declared<T>> named(
            Fields sections, String section, String kind, BiFunction<String, Fields, T> reader) {
        Map<String, Declared<T>> rules = new LinkedHashMap<>();
        Optional<Fields> names = sections.fields(section, section);
        if (names.isEmpty()) {
            return rules;
        }
        names.get().values().forEach((name, node) -> {
            int line = names.get().lineOf(name);
            if (!Names.isName(name)) {
                faults.addAt(line, ErrorKind.RULES_BAD_VALUE, name, "a " + kind + "'s name", nameRemedy());
            } else {
                Fields fields = Fields.of(node, kind + " " + name, faults);
                rules.put(name, declared(line, fields, () -> reader.apply(name, fields)));
            }
        });
        return rules;
    }

    private static String nameRemedy() {
        return "1 to 128 letters, digits, '.', '-' or '_', starting with a letter or digit";
    }

    private Optional<Declared<BatchRule>> batch(Fields sections) {
        return sections.fields("batch", "batch")
                .map(fields -> declared(sections.lineOf("batch"), fields, () -> RuleReader.batch(fields)));
    }

    private <T> Declared<T> declared(int line, Fields fields, Supplier<T> reader) {
        if (!fields.has(WITHDRAW)) {
            return new Declared<>(faults.file(), line, Optional.of(reader.get()));
        }
        if (!fields.flag(WITHDRAW)) {
            fields.refuse(WITHDRAW, "true, or remove the key");
        }
        fields.knowOnly(List.of(WITHDRAW));
        return new Declared<>(faults.file(), line, Optional.empty());
    }
}
