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
                arguments("an entry of the same zone is preferred", "a s z1 -|b s z2 -", "e1 z1|e2 z2", "{a=e1, b=e2}"),
                arguments("a balanced assignment is not changed", "a s z1 e2|b s z2 e1", "e1 z1|e2 z2", "{}"),
                arguments("a difference of one target is kept", "a s z e1|b s z e1|c s z e2", "e1 z|e2 z", "{}"),
                arguments("a difference of two targets is balanced", "a s z e1|b s z e1", "e1 z|e2 z", "{a=e2}"),
                arguments(
                        "a difference of two targets across zones is kept", "a s z1 e1|b s z1 e1", "e1 z1|e2 z2", "{}"),
                arguments(
                        "targets of an entry that is not live are reassigned",
                        "a s z gone|b s z e1",
                        "e1 z|e2 z",
                        "{a=e2}"),
                arguments(
                        "services with one target each are spread over entries",
                        "a s z -|b t z -",
                        "e1 z|e2 z",
                        "{a=e1, b=e2}"),
                arguments("without live entries nothing is assigned", "a s z -", "", "{}"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void targetsAreBalanced(String name, String targets, String entries, String expected) {
        List<Assignable<String>> assignables = new ArrayList<>();
        for (String target : targets.split("\\|")) {
            String[] fields = target.split(" ");
            Optional<EntryId> owner = fields[3].equals("-") ? Optional.empty() : Optional.of(EntryId.of(fields[3]));
            assignables.add(new Assignable<>(fields[0], fields[1], fields[2], owner));
        }
        List<LiveEntry> liveEntries = new ArrayList<>();
        for (String entry : entries.isEmpty() ? new String[0] : entries.split("\\|")) {
            String[] fields = entry.split(" ");
            liveEntries.add(new LiveEntry(EntryId.of(fields[0]), 1, fields[1], "rpc", 1, false, 0));
        }
        Map<String, EntryId> moves = Balancer.INSTANCE.plan(assignables, liveEntries, 9);
        assertThat(name, moves.toString(), is(expected));
    }
}
