package org.cornelcove.rules;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Optional;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.reader.ReaderException;

/**
 * Parses one small YAML file into a tree of nodes with line numbers. No objects are constructed from tags, and size and
 * nesting are bounded, so that the cost of a file is limited by its length.
 */
final class YamlFile {
    /** The size in bytes of the largest file that is read. */
    static final int MAX_BYTES = 1 << 20;

    private static final int MAX_NESTING = 16;

    private YamlFile() {}

    /**
     * Parses the file.
     *
     * @param path the file
     * @param errors collects the errors
     * @return the root node, empty for an empty file or one that cannot be read or parsed
     */
    static Optional<Node> read(Path path, ErrorCollector errors) {
        return bytesOf(path, errors).flatMap(bytes -> parse(bytes, errors));
    }

    private static Optional<byte[]> bytesOf(Path path, ErrorCollector errors) {
        try {
            if (Files.exists(path) && !Files.isRegularFile(path)) {
                throw new IOException("not a regular file");
            }
            try (InputStream in = Files.newInputStream(path)) {
                byte[] bytes = in.readNBytes(MAX_BYTES + 1);
                if (bytes.length <= MAX_BYTES) {
                    return Optional.of(bytes);
                }
            }
            errors.add(Failure.of(ErrorKind.RULES_TOO_LARGE, errors.file(), MAX_BYTES));
        } catch (IOException e) {
            errors.add(Failure.of(ErrorKind.RULES_FILE_UNREADABLE, errors.file(), reason(e)));
        }
        return Optional.empty();
    }

    /** Returns the cause of a failed file access as text. */
    static String reason(IOException failure) {
        if (failure instanceof NoSuchFileException) {
            return "it does not exist";
        }
        if (failure instanceof AccessDeniedException) {
            return "permission denied";
        }
        return String.valueOf(failure.getMessage());
    }

    private static Optional<Node> parse(byte[] bytes, ErrorCollector errors) {
        CharBuffer text = CharBuffer.allocate(bytes.length);
        ByteBuffer input = ByteBuffer.wrap(bytes);
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        CoderResult result = decoder.decode(input, text, true);
        if (result.isError()) {
            errors.addAt(1 + newlines(text.flip()), ErrorKind.RULES_SYNTAX, "not UTF-8 text");
            return Optional.empty();
        }
        return compose(text.flip().toString(), errors);
    }

    private static Optional<Node> compose(String text, ErrorCollector errors) {
        LoaderOptions options = new LoaderOptions();
        options.setNestingDepthLimit(MAX_NESTING);
        options.setCodePointLimit(MAX_BYTES);
        try {
            return Optional.ofNullable(new Yaml(options).compose(new StringReader(text)));
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
            errors.addAt(line, ErrorKind.RULES_SYNTAX, problemOf(e));
        } catch (ReaderException e) {
            int end = Math.min(text.length(), text.offsetByCodePoints(0, positionIn(text, e)));
            int line = 1 + newlines(text.substring(0, end));
            errors.addAt(line, ErrorKind.RULES_SYNTAX, "a character that YAML does not allow");
        } catch (YAMLException | IllegalArgumentException | IndexOutOfBoundsException e) {
            errors.addAt(1, ErrorKind.RULES_SYNTAX, firstLine(e.getMessage()));
        }
        return Optional.empty();
    }

    private static String problemOf(MarkedYAMLException failure) {
        String problem = String.valueOf(failure.getProblem());
        return problem.startsWith("but ") ? failure.getContext() + ", " + problem : problem;
    }

    private static int positionIn(String text, ReaderException failure) {
        return Math.max(0, Math.min(failure.getPosition(), text.codePointCount(0, text.length())));
    }

    private static int newlines(CharSequence text) {
        return (int) text.chars().filter(character -> character == '\n').count();
    }

    private static String firstLine(String message) {
        return String.valueOf(message).lines().findFirst().orElse("");
    }
}
