package org.cornelcove.work.plan;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ShortWorkRoomTest {
    private static final int WORKERS = 400;
    private static final int WORKER_MILLIS = 32_000;
    private static final int LASTING_MILLIS = 6_400;
    private static final double POOL_MILLIS = (double) WORKERS * WORKER_MILLIS;
    private static final int STEP_MS = 100;
    private static final int TASK_MS = 540;

    /** The lasting tasks that run on each worker, and when its short tasks end. */
    private static final class Pool {
        final int[] lastingMillis = new int[WORKERS];
        final int[] shortMillis = new int[WORKERS];
        final long[] endsMs = new long[WORKERS];

        int free(int worker) {
            return WORKER_MILLIS - lastingMillis[worker] - shortMillis[worker];
        }

        int emptiest() {
            int best = 0;
            for (int i = 1; i < WORKERS; i++) {
                best = free(i) > free(best) ? i : best;
            }
            return best;
        }

        List<ShortWorkRoom.Room> rooms() {
            return Arrays.stream(lastingMillis)
                    .mapToObj(lasting -> new ShortWorkRoom.Room(WORKER_MILLIS, lasting))
                    .toList();
        }

        void placeLasting(BitSet reserved) {
            int best = -1;
            for (int i = 0; i < WORKERS; i++) {
                boolean fits = !reserved.get(i) && free(i) >= LASTING_MILLIS;
                best = fits && (best < 0 || free(i) > free(best)) ? i : best;
            }
            if (best >= 0) {
                lastingMillis[best] += LASTING_MILLIS;
            }
        }

        void endShort(long nowMs) {
            for (int i = 0; i < WORKERS; i++) {
                shortMillis[i] = endsMs[i] <= nowMs ? 0 : shortMillis[i];
            }
        }
    }

    /**
     * Replays 40 s in which lasting tasks keep arriving and a peak of wide short tasks comes in the second half; returns
     * the share of the short tasks that start at once.
     */
    private static double startedAtOnce(boolean keepsRoom, long seed) {
        Random random = new Random(seed);
        Pool pool = new Pool();
        ShortWorkRoom room = new ShortWorkRoom();
        int asked = 0;
        int started = 0;
        for (long nowMs = 0; nowMs < 40_000; nowMs += STEP_MS) {
            pool.endShort(nowMs);
            room.observe(nowMs, Arrays.stream(pool.shortMillis).sum(), 0);
            int wide = nowMs < 20_000 ? 0 : random.nextInt(5);
            for (int n = 0; n < wide; n++) {
                int cpuMillis = 4_000 + random.nextInt(28_000);
                int worker = pool.emptiest();
                asked++;
                if (pool.free(worker) >= cpuMillis) {
                    started++;
                    pool.shortMillis[worker] += cpuMillis;
                    pool.endsMs[worker] = nowMs + TASK_MS;
                }
            }
            BitSet reserved = keepsRoom ? room.reserved(pool.rooms()) : new BitSet();
            for (int n = 0; n < 10; n++) {
                pool.placeLasting(reserved);
            }
        }
        return (double) started / asked;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void wideShortTasksFindRoomAlthoughLastingTasksFillThePool(long seed) {
        assertThat(startedAtOnce(false, seed), lessThan(0.2));
        assertThat(startedAtOnce(true, seed), greaterThan(0.9));
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0, 0.16",
        "0.05, 0, 0.16",
        "0.18, 0, 0.18",
        "0.1, 0.2, 0.2",
        "0, 0.4, 0.2",
        "0.5, 0, 0.25",
        "3, 3, 0.25"
    })
    void theReserveFollowsThePeakWithinItsBounds(double shortShare, double fillShare, double reserveShare) {
        ShortWorkRoom room = new ShortWorkRoom();
        room.observe(0, shortShare * POOL_MILLIS, fillShare * POOL_MILLIS);
        assertThat(room.reserveMillis(POOL_MILLIS), closeTo(reserveShare * POOL_MILLIS, 1));
    }

    @Test
    void aPeakThatDoesNotReturnIsForgotten() {
        ShortWorkRoom room = new ShortWorkRoom();
        room.observe(0, 0.2 * POOL_MILLIS, 0);
        room.observe(2_000, 0, 0);
        assertThat(room.reserveMillis(POOL_MILLIS), closeTo(0.2 * Math.exp(-0.1) * POOL_MILLIS, 1));
        room.observe(120_000, 0, 0);
        assertThat(room.reserveMillis(POOL_MILLIS), closeTo(0.16 * POOL_MILLIS, 1));
    }

    @Test
    void theWorkersWithTheFewestLastingTasksAreReserved() {
        ShortWorkRoom room = new ShortWorkRoom();
        room.observe(0, POOL_MILLIS, 0);
        List<ShortWorkRoom.Room> workers = IntStream.of(9, 0, 5, 0, 7, 3, 8, 6)
                .mapToObj(lasting -> new ShortWorkRoom.Room(WORKER_MILLIS, lasting * 1000))
                .toList();
        assertThat(room.reserved(workers), is(BitSet.valueOf(new long[] {0b1010})));
    }

    /** A pool of few workers keeps all of them: a reserve below one worker reserves none. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 4, 12})
    void noMoreThanTheReserveIsTaken(int workers) {
        ShortWorkRoom room = new ShortWorkRoom();
        room.observe(0, Double.MAX_VALUE, 0);
        List<ShortWorkRoom.Room> rooms = Collections.nCopies(workers, new ShortWorkRoom.Room(WORKER_MILLIS, 0));
        assertThat(room.reserved(rooms).cardinality(), is(workers / 4));
    }
}
