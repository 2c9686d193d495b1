package org.cornelcove.rules;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

import org.cornelcove.model.error.ErrorKind;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;

/**
 * One YAML mapping, read key by key. An invalid value is reported and replaced by the key's default, so that reading
 * continues and all errors of the file are found in one pass.
 */
final class Fields {
    private static final long DAY_MS = 86_400_000L;
    private static final long MAX_SIZE_BYTES = 1L << 50;
    private static final long MAX_CPU_MILLICORES = 1_000_000_000L;

    private final String owner;
    private final int line;
    private final ErrorCollector errors;
    private final Map<String, Node> values = new LinkedHashMap<>();
    private final Map<String, Integer> lines = new LinkedHashMap<>();
    /** Whether the node was a mapping or empty; if not, no key is reported as missing. */
    private boolean isMapping = true;

    private Fields(String owner, int line, ErrorCollector errors) {
        this.owner = owner;
        this.line = line;
        this.errors = errors;
    }

    /**
     * Returns the fields of a mapping.
     *
     * @param node the mapping; an empty value counts as an empty mapping
     * @param owner what the mapping describes, for messages
     * @param errors collects the errors
     * @return the fields, none where the node is not a mapping
     */
    static Fields of(Node node, String owner, ErrorCollector errors) {
        Fields fields = new Fields(owner, ErrorCollector.lineOf(node), errors);
        if (rejectAnchor(node, errors)) {
            fields.isMapping = false;
        } else if (node instanceof MappingNode) {
            ((MappingNode) node).getValue().forEach(fields::put);
        } else if (!isEmpty(node)) {
            fields.isMapping = false;
            errors.addAt(fields.line, ErrorKind.RULES_BAD_VALUE, textOf(node), owner, "a mapping of keys to values");
        }
        return fields;
    }

    private void put(NodeTuple tuple) {
        Node key = tuple.getKeyNode();
        int keyLine = ErrorCollector.lineOf(key);
        if (rejectAnchor(key, errors)) {
            return;
        }
        if (!(key instanceof ScalarNode)) {
            errors.addAt(keyLine, ErrorKind.RULES_BAD_VALUE, textOf(key), "a key of " + owner, "plain text");
            return;
        }
        String name = ((ScalarNode) key).getValue();
        if (values.containsKey(name)) {
            errors.addAt(keyLine, ErrorKind.RULES_DUPLICATE_NAME, name);
            return;
        }
        values.put(name, tuple.getValueNode());
        lines.put(name, keyLine);
    }

    private static boolean rejectAnchor(Node node, ErrorCollector errors) {
        if (node.getAnchor() == null) {
            return false;
        }
        errors.addAt(ErrorCollector.lineOf(node), ErrorKind.RULES_ANCHOR);
        return true;
    }

    private static boolean isEmpty(Node node) {
        return node instanceof ScalarNode && ((ScalarNode) node).getValue().isEmpty();
    }

    private static String textOf(Node node) {
        return node instanceof ScalarNode ? ((ScalarNode) node).getValue() : "a " + node.getNodeId();
    }

    /** Reports every key that is not among the known ones. */
    void rejectUnknownKeys(List<String> known) {
        values.keySet().stream()
                .filter(key -> !known.contains(key))
                .forEach(key ->
                        errors.addAt(lines.get(key), ErrorKind.RULES_UNKNOWN_KEY, key, String.join(", ", known)));
    }

    Map<String, Node> values() {
        return values;
    }

    int lineOf(String key) {
        return lines.getOrDefault(key, line);
    }

    boolean has(String key) {
        return values.containsKey(key);
    }

    /** Reports the value of the key as invalid, with what is expected instead. */
    void rejectValue(String key, String expected) {
        errors.addAt(lineOf(key), ErrorKind.RULES_BAD_VALUE, textOf(values.get(key)), owner + " " + key, expected);
    }

    /** Reports the key if it is missing; returns whether it is present. */
    boolean require(String key) {
        if (isMapping && !has(key)) {
            errors.addAt(line, ErrorKind.RULES_KEY_MISSING, owner, key);
        }
        return has(key);
    }

    /** Returns the mapping under the key, or empty without that key; error messages name the mapping by its label. */
    Optional<Fields> fields(String key, String label) {
        return Optional.ofNullable(values.get(key)).map(node -> of(node, label, errors));
    }

    Optional<String> text(String key) {
        Node node = values.get(key);
        if (node == null || rejectAnchor(node, errors)) {
            return Optional.empty();
        }
        if (!(node instanceof ScalarNode)) {
            rejectValue(key, "plain text");
            return Optional.empty();
        }
        return Optional.of(((ScalarNode) node).getValue());
    }

    long durationMs(String key, long defaultMs) {
        return amount(key, defaultMs, 1, 365 * DAY_MS, Units::parseDurationMs, "a duration as 800ms, 10s, 5m or 2h");
    }

    long sizeBytes(String key, long defaultBytes) {
        return amount(
                key, defaultBytes, 1, MAX_SIZE_BYTES, Units::parseSizeBytes, "a size as 512B, 64KiB, 8MiB or 256GiB");
    }

    long cpuMillicores(String key) {
        return amount(
                key, 0, 0, MAX_CPU_MILLICORES, Units::parseCpuMillicores, "cores as 64 or 0.5, or thousandths as 500m");
    }

    int integer(String key, int defaultValue, int lowest, int highest) {
        String expected = "a whole number from " + lowest + " to " + highest;
        return (int) amount(key, defaultValue, lowest, highest, Fields::parseInteger, expected);
    }

    boolean flag(String key) {
        Optional<String> text = text(key);
        if (text.isPresent() && !text.get().equals("true") && !text.get().equals("false")) {
            rejectValue(key, "true or false");
        }
        return text.filter("true"::equals).isPresent();
    }

    private long amount(
            String key,
            long defaultValue,
            long lowest,
            long highest,
            Function<String, OptionalLong> parser,
            String expected) {
        Optional<String> text = text(key);
        if (text.isEmpty()) {
            return defaultValue;
        }
        OptionalLong value = parser.apply(text.get());
        if (value.isEmpty() || value.getAsLong() < lowest || value.getAsLong() > highest) {
            rejectValue(key, expected);
            return defaultValue;
        }
        return value.getAsLong();
    }

    private static OptionalLong parseInteger(String text) {
        return text.matches("\\d{1,9}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }
}
