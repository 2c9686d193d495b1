package org.cornelcove.bench.cluster;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class ChangeHistoryTest {
    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Changes 2 and 3 become versions 5 and 6, are sent again and get in force. */
    private static ChangeHistory twoChanges() {
        ChangeHistory history = new ChangeHistory();
        for (long number = 2; number <= 3; number++) {
            history.due(number, ms(number * 24));
            history.accepted(number, number + 3, ms(100));
            history.resent(number, OptionalLong.of(number + 3));
        }
        history.inForce(6, ms(300));
        return history;
    }

    private static Consumer<ChangeHistory> shown(long version, long changeNumber, long sentMs, long answeredMs) {
        return history -> history.shown(new ChangeHistory.Shown(version, changeNumber, ms(sentMs), ms(answeredMs)));
    }

    private static Consumer<ChangeHistory> change(long number, long version) {
        return history -> {
            history.due(number, 0);
            history.accepted(number, version, 0);
        };
    }

    static Stream<Arguments> faults() {
        Consumer<ChangeHistory> due = history -> history.due(4, 0);
        Consumer<ChangeHistory> inForce = history -> history.inForce(100, ms(400));
        return Stream.of(
                Arguments.of("never accepted", due, "change 4 was never accepted"),
                Arguments.of("never in force", change(4, 7), "change 4 was never in force"),
                Arguments.of(
                        "same version", change(4, 6).andThen(inForce), "change 4 became version 6 after version 6"),
                Arguments.of("gap", change(4, 8).andThen(inForce), "change 4 became version 8 after version 6"),
                Arguments.of(
                        "other outcome",
                        (Consumer<ChangeHistory>) history -> history.resent(3, OptionalLong.of(7)),
                        "change 3 became version 6"),
                Arguments.of(
                        "resend refused",
                        (Consumer<ChangeHistory>) history -> history.resent(3, OptionalLong.empty()),
                        "its resend was told OptionalLong.empty"),
                Arguments.of(
                        "revert",
                        shown(6, 3, 10, 20).andThen(shown(5, 2, 21, 30)),
                        "version 5 was shown after version 6"),
                Arguments.of("other content", shown(6, 2, 10, 20), "version 6 was shown as change 2"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void whatMustNotBeIsFound(String what, Consumer<ChangeHistory> seen, String fault) {
        ChangeHistory history = twoChanges();
        seen.accept(history);
        assertThat(history.faults(), contains(containsString(fault)));
    }

    static Stream<Arguments> harmless() {
        Consumer<ChangeHistory> none = history -> {};
        return Stream.of(
                Arguments.of("nothing read", none),
                Arguments.of("versions rise", shown(5, 2, 10, 20).andThen(shown(6, 3, 21, 30))),
                Arguments.of("reads at the same time", shown(6, 3, 10, 20).andThen(shown(5, 2, 15, 30))),
                Arguments.of("a version from before", shown(4, 1, 1, 2)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("harmless")
    void whatMayBeIsNoFault(String what, Consumer<ChangeHistory> seen) {
        ChangeHistory history = twoChanges();
        seen.accept(history);
        assertThat(history.faults(), is(empty()));
    }

    @Test
    void timesCountFromDueAndALaterVersionInForceCountsForEarlierOnes() {
        ChangeHistory history = twoChanges();
        assertThat(history.waitsMs().getTotalCount(), is(2L));
        assertThat(history.waitsMs().getMinValue(), is(300L - 3 * 24));
        assertThat(history.waitsMs().getMaxValue(), is(300L - 2 * 24));
        assertThat(history.acceptanceMs().getMaxValue(), is(100L - 2 * 24));
        assertThat(history.outstanding(), is(empty()));
    }

    @Test
    void whatIsInForceStaysAtItsFirstTime() {
        ChangeHistory history = twoChanges();
        history.inForce(6, ms(900));
        assertThat(history.waitsMs().getMaxValue(), is(300L - 2 * 24));
    }
}
