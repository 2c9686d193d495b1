package org.cornelcove.policy.quarantine;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CrashBlameTest {
    /** Each run is {@code crashes/aliveMs}. */
    @ParameterizedTest
    @CsvSource({
        "'0/0', '{0}'",
        "'0/0 0/60000 0/2900', '{0, 2}'",
        "'0/0 1/10 0/20', '{1}'",
        "'1/10 1/20 0/0', '{0, 1}'",
        "'2/5000 0/100', '{1}'",
        "'0/60000 1/60000', '{}'",
        "'', '{}'"
    })
    void onlyNewRunsAreBlamedAndThoseBlamedBeforeFirst(String runs, String blamed) {
        List<CrashBlame.Run> views = new ArrayList<>();
        for (String run : runs.isEmpty() ? new String[0] : runs.split(" ")) {
            String[] parts = run.split("/");
            views.add(new CrashBlame.Run(Integer.parseInt(parts[0]), Long.parseLong(parts[1])));
        }
        BitSet found = CrashBlame.blamed(views);
        assertThat(found.toString(), is(blamed));
    }

    /** Load pattern: the worker that a task crashed is back, empty, and would be the first choice of any placement. */
    @Test
    void aSuspectStartsApartFromOthersOnAStableWorkerWithLittleToLose() {
        CrashBlame.Room returned = new CrashBlame.Room(true, 0, 100, 0);
        CrashBlame.Room withSuspect = new CrashBlame.Room(true, 1, 60_000, 1);
        CrashBlame.Room crowded = new CrashBlame.Room(true, 0, 60_000, 12);
        CrashBlame.Room quiet = new CrashBlame.Room(true, 0, 60_000, 3);
        CrashBlame.Room full = new CrashBlame.Room(false, 0, 60_000, 0);
        assertThat(CrashBlame.choose(List.of(returned, withSuspect, crowded, quiet, full)), is(OptionalInt.of(3)));
        assertThat(CrashBlame.choose(List.of(withSuspect, returned)), is(OptionalInt.of(1)));
        assertThat(CrashBlame.choose(List.of(full)), is(OptionalInt.empty()));
    }
}
