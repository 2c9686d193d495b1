package org.cornelcove.replication;

import java.util.OptionalLong;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class HangWatchTest {
    private static final long TICK_MS = 25;
    private static final long LIMIT_TICKS = HangWatch.LIMIT_MS / TICK_MS;

    /** Ticks, the batch under way at each, and whether one of them hangs. */
    static Stream<Arguments> cases() {
        LongFunction<OptionalLong> one = tick -> OptionalLong.of(1);
        LongFunction<OptionalLong> idle = tick -> OptionalLong.empty();
        LongFunction<OptionalLong> anotherEachTick = tick -> OptionalLong.of(2 * tick + 1);
        LongFunction<OptionalLong> anotherInTime = tick -> OptionalLong.of(2 * (tick / LIMIT_TICKS) + 1);
        return Stream.of(
                arguments(LIMIT_TICKS + 2, one, true),
                arguments(LIMIT_TICKS, one, false),
                arguments(LIMIT_TICKS * 3, idle, false),
                arguments(LIMIT_TICKS * 3, anotherEachTick, false),
                arguments(LIMIT_TICKS * 3, anotherInTime, false));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void oneBatchOverTooManyTicksHangs(long ticks, LongFunction<OptionalLong> underWay, boolean hangs) {
        HangWatch watch = new HangWatch(TICK_MS);
        boolean seen = LongStream.range(0, ticks)
                .mapToObj(tick -> watch.tick(underWay.apply(tick)))
                .reduce(false, Boolean::logicalOr);
        assertThat(seen, is(hangs));
    }
}
