package org.cornelcove.policy.route;

import java.util.Collection;
import java.util.function.Function;

import org.cornelcove.policy.learn.RunTimeEstimate;

/**
 * Decides which of a service's targets are ejected.
 *
 * <p>A target is ejected when it fails several times in a row, fails a large share of its requests, or is several times
 * slower than the median of the others, each run measured against the median of its own kind of work. At most half of
 * the targets are ejected at once: beyond that the cause is likely common to all, and ejecting more would only move the
 * overload on. A target that fails on probation is ejected again.
 *
 * <p>That bound on how many are out holds only while one thread at a time ejects. Answers are by far the most outcomes
 * and seldom eject, so {@link #noteAnswer} may be called by several threads; it leaves ejecting to another call.
 */
public final class HealthJudge {
    private static final int FAILURES_IN_ROW = 3;
    private static final double FAILURE_SHARE = 0.4;
    private static final double SLOW_FACTOR = 3;
    private static final int MIN_OUTCOMES = 10;
    private static final int MIN_COMPARED = 3;
    private static final int SILENCE_FACTOR = 8;

    private HealthJudge() {}

    /**
     * Learns how a send ended, and ejects the target if that made it unfit.
     *
     * @param <T> the kind of the targets
     * @param target the target
     * @param group all targets of the service, itself included
     * @param healthOf gives the health of one of them
     * @param sent how the send ended
     * @param nowMs the current instant
     * @return whether the target was ejected by this
     */
    public static <T> boolean note(
            TargetHealth target, Collection<T> group, Function<T, TargetHealth> healthOf, Sent sent, long nowMs) {
        boolean probation = target.isOnProbation();
        switch (sent.outcome()) {
            case ANSWERED -> target.answered(sent.tookUs(), sent.expectedUs(), nowMs);
            case FAILED -> target.failed();
            case ABANDONED -> {
                return false;
            }
            default -> throw new IllegalArgumentException(sent.outcome().name());
        }
        boolean failedProbation = probation && sent.outcome() == SendOutcome.FAILED;
        return eject(target, group, healthOf, failedProbation, nowMs);
    }

    /**
     * Learns from an answer, by several threads at once.
     *
     * @param <T> the kind of the targets
     * @param target the target
     * @param group all targets of the service, itself included
     * @param healthOf gives the health of one of them
     * @param sent the answered send
     * @param nowMs the current instant
     * @return whether the target looks unfit; {@link #ejectIfUnfit} then decides, by one thread at a time
     */
    public static <T> boolean noteAnswer(
            TargetHealth target, Collection<T> group, Function<T, TargetHealth> healthOf, Sent sent, long nowMs) {
        target.answered(sent.tookUs(), sent.expectedUs(), nowMs);
        return mustEject(target, group, healthOf, false, nowMs);
    }

    /**
     * Ejects a target if it is unfit.
     *
     * @param <T> the kind of the targets
     * @param target the target
     * @param group all targets of the service, itself included
     * @param healthOf gives the health of one of them
     * @param nowMs the current instant
     * @return whether the target was ejected by this
     */
    public static <T> boolean ejectIfUnfit(
            TargetHealth target, Collection<T> group, Function<T, TargetHealth> healthOf, long nowMs) {
        return eject(target, group, healthOf, false, nowMs);
    }

    private static <T> boolean eject(
            TargetHealth target,
            Collection<T> group,
            Function<T, TargetHealth> healthOf,
            boolean failedProbation,
            long nowMs) {
        boolean ejects = mustEject(target, group, healthOf, failedProbation, nowMs);
        if (ejects) {
            target.eject(nowMs);
        }
        return ejects;
    }

    private static <T> boolean mustEject(
            TargetHealth target,
            Collection<T> group,
            Function<T, TargetHealth> healthOf,
            boolean failedProbation,
            long nowMs) {
        return (failedProbation || isUnfit(target, group, healthOf))
                && !target.isEjected(nowMs)
                && mayEject(target, group, healthOf, nowMs);
    }

    /**
     * Judges a target that had not answered when the deadline passed. A short deadline is not its fault; it is when the
     * target had many times what work of the kind takes.
     *
     * @param tookUs how long it had
     * @param kind what was learned of the kind of work
     * @return how the send counts
     */
    public static SendOutcome silent(long tookUs, RunTimeEstimate kind) {
        boolean known = kind.samples() > 0;
        return known && tookUs > SILENCE_FACTOR * kind.p50Us() ? SendOutcome.FAILED : SendOutcome.ABANDONED;
    }

    private static <T> boolean isUnfit(TargetHealth target, Collection<T> group, Function<T, TargetHealth> healthOf) {
        if (target.failuresInRow() >= FAILURES_IN_ROW) {
            return true;
        }
        if (target.outcomes() < MIN_OUTCOMES) {
            return false;
        }
        return target.failureShare() > FAILURE_SHARE || isSlow(target, group, healthOf);
    }

    /** Tells whether the target's slowdown is beyond {@code SLOW_FACTOR} times the median, without sorting. */
    private static <T> boolean isSlow(TargetHealth target, Collection<T> group, Function<T, TargetHealth> healthOf) {
        double limit = target.slowdown() / SLOW_FACTOR;
        int compared = 0;
        int below = 0;
        for (T one : group) {
            TargetHealth other = healthOf.apply(one);
            if (other.outcomes() >= MIN_OUTCOMES) {
                compared++;
                below += other.slowdown() < limit ? 1 : 0;
            }
        }
        return compared >= MIN_COMPARED && below > compared / 2;
    }

    private static <T> boolean mayEject(
            TargetHealth target, Collection<T> group, Function<T, TargetHealth> healthOf, long nowMs) {
        int out = 0;
        for (T one : group) {
            TargetHealth other = healthOf.apply(one);
            out += other != target && other.isEjected(nowMs) ? 1 : 0;
        }
        return (out + 1) * 2 <= group.size();
    }
}
