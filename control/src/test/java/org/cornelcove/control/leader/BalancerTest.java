package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.cornelcove.model.id.EntryId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class BalancerTest {
    /** Format of a target: name, service, zone, owner. Format of an entry: name, zone. */
    static Stream<Arguments> cases() {
        return Stream.of(
                arguments("own zone first", "a s z1 -|b s z2 -", "e1 z1|e2 z2", "{a=e1, b=e2}"),
                arguments("what is balanced stays", "a s z1 e2|b s z2 e1", "e1 z1|e2 z2", "{}"),
                arguments("a difference of one stays", "a s z e1|b s z e1|c s z e2", "e1 z|e2 z", "{}"),
                arguments("a difference of two is evened", "a s z e1|b s z e1", "e1 z|e2 z", "{a=e2}"),
                arguments("across zones a difference of two stays", "a s z1 e1|b s z1 e1", "e1 z1|e2 z2", "{}"),
                arguments("an owner that is gone loses all", "a s z gone|b s z e1", "e1 z|e2 z", "{a=e2}"),
                arguments("small services don't pile up", "a s z -|b t z -", "e1 z|e2 z", "{a=e1, b=e2}"),
                arguments("nobody to own", "a s z -", "", "{}"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void targetsAreShared(String name, String targets, String entries, String expected) {
        List<Assignable<String>> all = new ArrayList<>();
        for (String target : targets.split("\\|")) {
            String[] words = target.split(" ");
            Optional<EntryId> owner = words[3].equals("-") ? Optional.empty() : Optional.of(EntryId.of(words[3]));
            all.add(new Assignable<>(words[0], words[1], words[2], owner));
        }
        List<LiveEntry> live = new ArrayList<>();
        for (String entry : entries.isEmpty() ? new String[0] : entries.split("\\|")) {
            String[] words = entry.split(" ");
            live.add(new LiveEntry(EntryId.of(words[0]), 1, words[1], "rpc", 1, false, 0));
        }
        Map<String, EntryId> moves = Balancer.INSTANCE.plan(all, live, 9);
        assertThat(name, moves.toString(), is(expected));
    }
}
