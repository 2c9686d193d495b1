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

class DiskStallDetectorTest {
    private static final long TICK_MS = 25;
    private static final long LIMIT_TICKS = DiskStallDetector.LIMIT_MS / TICK_MS;

    /** The number of ticks, the batch in progress at each, and whether a stall is detected. */
    static Stream<Arguments> cases() {
        LongFunction<OptionalLong> sameBatch = tick -> OptionalLong.of(1);
        LongFunction<OptionalLong> idle = tick -> OptionalLong.empty();
        LongFunction<OptionalLong> newBatchEachTick = tick -> OptionalLong.of(2 * tick + 1);
        LongFunction<OptionalLong> newBatchWithinLimit = tick -> OptionalLong.of(2 * (tick / LIMIT_TICKS) + 1);
        return Stream.of(
                arguments(LIMIT_TICKS + 2, sameBatch, true),
                arguments(LIMIT_TICKS, sameBatch, false),
                arguments(LIMIT_TICKS * 3, idle, false),
                arguments(LIMIT_TICKS * 3, newBatchEachTick, false),
                arguments(LIMIT_TICKS * 3, newBatchWithinLimit, false));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void batchThatExceedsTheTickLimitIsDetected(long ticks, LongFunction<OptionalLong> currentBatch, boolean stalled) {
        DiskStallDetector detector = new DiskStallDetector(TICK_MS);
        boolean detected = LongStream.range(0, ticks)
                .mapToObj(tick -> detector.tick(currentBatch.apply(tick)))
                .reduce(false, Boolean::logicalOr);
        assertThat(detected, is(stalled));
    }
}
