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

/** Reads the sections of one file; {@link RuleReader} reads the single rules. */
final class RulesFile {
    private static final List<String> SECTIONS = List.of("services", "tenants", "teams", "batch");
    private static final String WITHDRAW = "withdraw";

    private final ErrorCollector errors;

    private RulesFile(ErrorCollector errors) {
        this.errors = errors;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @param errors collects the errors
     * @return the rules, with invalid ones left out or set to defaults; empty if the file cannot be parsed
     */
    static Optional<ParsedFile> read(Path path, ErrorCollector errors) {
        Optional<Node> root = YamlFile.read(path, errors);
        if (root.isEmpty()) {
            ParsedFile empty = new ParsedFile(Map.of(), Map.of(), Map.of(), Optional.empty());
            return errors.isEmpty() ? Optional.of(empty) : Optional.empty();
        }
        Fields sections = Fields.of(root.get(), "the file", errors);
        sections.rejectUnknownKeys(SECTIONS);
        return Optional.of(new RulesFile(errors).read(sections));
    }

    private ParsedFile read(Fields sections) {
        return new ParsedFile(
                rulesByName(sections, "services", "service", RuleReader::service),
                rulesByName(sections, "tenants", "tenant", RuleReader::tenant),
                rulesByName(sections, "teams", "team", RuleReader::team),
                batch(sections));
    }

    private <T> Map<String, Declared<T>> rulesByName(
            Fields sections, String section, String kind, BiFunction<String, Fields, T> reader) {
        Map<String, Declared<T>> rules = new LinkedHashMap<>();
        Optional<Fields> entries = sections.fields(section, section);
        if (entries.isEmpty()) {
            return rules;
        }
        entries.get().values().forEach((name, node) -> {
            int line = entries.get().lineOf(name);
            if (!Names.isName(name)) {
                errors.addAt(line, ErrorKind.RULES_BAD_VALUE, name, "a " + kind + "'s name", nameFormat());
            } else {
                Fields fields = Fields.of(node, kind + " " + name, errors);
                rules.put(name, declared(line, fields, () -> reader.apply(name, fields)));
            }
        });
        return rules;
    }

    private static String nameFormat() {
        return "1 to 128 letters, digits, '.', '-' or '_', starting with a letter or digit";
    }

    private Optional<Declared<BatchRule>> batch(Fields sections) {
        return sections.fields("batch", "batch")
                .map(fields -> declared(sections.lineOf("batch"), fields, () -> RuleReader.batch(fields)));
    }

    private <T> Declared<T> declared(int line, Fields fields, Supplier<T> reader) {
        if (!fields.has(WITHDRAW)) {
            return new Declared<>(errors.file(), line, Optional.of(reader.get()));
        }
        if (!fields.flag(WITHDRAW)) {
            fields.rejectValue(WITHDRAW, "true, or remove the key");
        }
        fields.rejectUnknownKeys(List.of(WITHDRAW));
        return new Declared<>(errors.file(), line, Optional.empty());
    }
}
