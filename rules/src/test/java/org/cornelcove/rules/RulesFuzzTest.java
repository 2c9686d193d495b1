package org.cornelcove.rules;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import io.vavr.control.Either;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.rule.RuleSet;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Reading a corrupted file returns typed errors or rules and never throws an exception. */
class RulesFuzzTest {
    private static final int ROUNDS = 1500;
    private static final String VALID =
            "services:\n  booking: {pathPrefix: /booking, class: exclusive, deadline: 800ms}\n"
                    + "tenants:\n  north:\n    weight: 2\nteams:\n  payouts:\n    quota: {cpu: 64, memory: 256GiB}\n"
                    + "batch:\n  maxAttempts: 3\n";
    private static final String[] TOKENS = {
        "&a ", "*a", "!!int ", "\"\\UFFFFFFFF\"", "\"\\uD800\"", "? ", "<<: ", "---\n", "%YAML 9999999999\n", "|9\n",
                "[", "{",
        "}", "\t", "'", "- ", ": ", "\u0000", "1e999999999", "-1", "# ", "\n", "\ufeff", "..."
    };

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void invalidInputIsReportedWithoutException(long seed) throws IOException {
        Random random = new Random(seed);
        Path file = folder.resolve("10-damaged.yaml");
        for (int round = 0; round < ROUNDS; round++) {
            Files.write(file, corrupted(random));
            Either<List<Failure>, RuleSet> read = RulesFolder.read(folder);
            if (read.isLeft()) {
                assertThat(read.getLeft(), is(not(empty())));
                assertThat(read.getLeft().get(0).message().lines().count(), is(1L));
            }
        }
    }

    private static byte[] corrupted(Random random) {
        byte[] bytes = withTokens(random).getBytes(StandardCharsets.UTF_8);
        switch (random.nextInt(3)) {
            case 0:
                return Arrays.copyOf(bytes, random.nextInt(bytes.length));
            case 1:
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                return bytes;
            default:
                return bytes;
        }
    }

    private static String withTokens(Random random) {
        StringBuilder text = new StringBuilder(VALID);
        int insertions = 1 + random.nextInt(4);
        for (int insertion = 0; insertion < insertions; insertion++) {
            text.insert(random.nextInt(text.length()), TOKENS[random.nextInt(TOKENS.length)]);
        }
        return text.toString();
    }
}
