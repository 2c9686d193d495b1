package org.cornelcove.work.plan;

import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Decides which workers of a pool are left to short work and fill work, and take no lasting tasks.
 *
 * <p>Load pattern: lasting tasks arrive all day and stay for minutes, while short urgent tasks, some as wide as a whole
 * worker, arrive in peaks and use a few percent of the pool. Lasting tasks come last in each placement pass, but between
 * two peaks each of them found room, until no worker had room for a wide task; those waited for tens of seconds. The same
 * lasting tasks, spread over all workers, left no worker on which sensitive ones did not exclude the fill work. Free
 * processor in small blocks does not help; so whole workers are reserved, as many as the latest peak needed. Reserved are
 * the workers with the fewest lasting tasks, which become free as these end.
 *
 * <p>One instance serves one pool; it is used by one thread.
 */
public final class ShortWorkRoom {
    /** Share of a pool that is reserved before any work was seen, and at least. */
    private static final double MIN_SHARE = 0.16;
    /** Share of a pool that is reserved at most; waiting work in an overload is no measure of a usual peak. */
    private static final double MAX_SHARE = 0.25;
    /** Share of the fill work that is expected to find no worker whose lasting tasks tolerate it. */
    private static final double EXCLUDED_FILL_SHARE = 0.5;
    /** Time in which a peak that does not return loses two thirds of its weight. */
    private static final double PEAK_DECAY_MS = 20_000;

    private double peakMillis;
    private long observedMs;

    /**
     * A worker of the pool.
     *
     * @param cpuMillis its processor, in thousandths of a core
     * @param lastingMillis the processor that its lasting tasks reserve
     */
    public record Room(int cpuMillis, int lastingMillis) {}

    /**
     * Records the work of the pool.
     *
     * @param nowMs the time on a monotonic clock
     * @param shortMillis processor of running and waiting short tasks, in thousandths of a core
     * @param fillMillis processor of running and waiting fill tasks at full speed, in thousandths of a core
     */
    public void observe(long nowMs, double shortMillis, double fillMillis) {
        double keptMillis = peakMillis * Math.exp((observedMs - nowMs) / PEAK_DECAY_MS);
        peakMillis = Math.max(shortMillis + EXCLUDED_FILL_SHARE * fillMillis, keptMillis);
        observedMs = nowMs;
    }

    /**
     * Returns how much of the pool is reserved.
     *
     * @param poolMillis the processor of the pool, in thousandths of a core
     * @return the latest peak within the bounds, in thousandths of a core
     */
    public double reserveMillis(double poolMillis) {
        return Math.max(MIN_SHARE * poolMillis, Math.min(MAX_SHARE * poolMillis, peakMillis));
    }

    /**
     * Chooses the reserved workers: those with the fewest lasting tasks, as many whole workers as the reserve holds.
     *
     * @param workers the workers of the pool
     * @return the indices of the workers that take no lasting tasks
     */
    public BitSet reserved(List<Room> workers) {
        double leftMillis =
                reserveMillis(workers.stream().mapToDouble(Room::cpuMillis).sum());
        BitSet reserved = new BitSet(workers.size());
        List<Integer> fewestFirst = IntStream.range(0, workers.size())
                .boxed()
                .sorted(Comparator.comparingInt(i -> workers.get(i).lastingMillis()))
                .toList();
        for (int i : fewestFirst) {
            leftMillis -= workers.get(i).cpuMillis();
            if (leftMillis < 0) {
                break;
            }
            reserved.set(i);
        }
        return reserved;
    }
}
