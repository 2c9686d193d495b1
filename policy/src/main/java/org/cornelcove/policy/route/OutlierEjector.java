package org.cornelcove.policy.route;

import java.util.Collection;
import java.util.function.Function;

import org.cornelcove.policy.learn.RunTimeEstimate;

/**
 * Decides which of a service's targets are ejected.
 *
 * <p>A target is ejected if it fails several times in a row, fails a large share of its requests, or is several times
 * slower than the median of the targets; each run time is compared with the median of its kind of work. At most half of
 * the targets are ejected at the same time: above that, the cause is probably common to all, and further ejections would
 * only shift the overload to the other targets. A target that fails on probation is ejected again.
 *
 * <p>This limit holds only if one thread at a time ejects. Most outcomes are answers, which rarely cause an ejection, so
 * {@link #recordAnswer} may be called concurrently; it leaves the ejection to a separate call.
 */
public final class OutlierEjector {
    private static final int FAILURES_IN_ROW = 3;
    private static final double FAILURE_SHARE = 0.4;
    private static final double SLOW_FACTOR = 3;
    private static final int MIN_OUTCOMES = 10;
    private static final int MIN_COMPARED = 3;
    private static final int SILENCE_FACTOR = 8;

    private OutlierEjector() {}

    /**
     * Records the outcome of a send and ejects the target if it has become unhealthy.
     *
     * @param <T> the type of the targets
     * @param target the target
     * @param group all targets of the service, itself included
     * @param healthOf returns the health of a target
     * @param sendResult the result of the send
     * @param nowMs the current instant
     * @return true if this call ejected the target
     */
    public static <T> boolean recordOutcome(
            TargetHealth target,
            Collection<T> group,
            Function<T, TargetHealth> healthOf,
            SendResult sendResult,
            long nowMs) {
        boolean probation = target.isOnProbation();
        switch (sendResult.outcome()) {
            case ANSWERED -> target.answered(sendResult.tookUs(), sendResult.expectedUs(), nowMs);
            case FAILED -> target.failed();
            case ABANDONED -> {
                return false;
            }
            default -> throw new IllegalArgumentException(sendResult.outcome().name());
        }
        boolean failedProbation = probation && sendResult.outcome() == SendOutcome.FAILED;
        return eject(target, group, healthOf, failedProbation, nowMs);
    }

    /**
     * Records an answer; may be called concurrently.
     *
     * @param <T> the type of the targets
     * @param target the target
     * @param group all targets of the service, itself included
     * @param healthOf returns the health of a target
     * @param sendResult the answered send
     * @param nowMs the current instant
     * @return true if the target seems unhealthy; {@link #ejectIfUnhealthy} must then be called by one thread at a time
     */
    public static <T> boolean recordAnswer(
            TargetHealth target,
            Collection<T> group,
            Function<T, TargetHealth> healthOf,
            SendResult sendResult,
            long nowMs) {
        target.answered(sendResult.tookUs(), sendResult.expectedUs(), nowMs);
        return mustEject(target, group, healthOf, false, nowMs);
    }

    /**
     * Ejects a target if it is unhealthy.
     *
     * @param <T> the type of the targets
     * @param target the target
     * @param group all targets of the service, itself included
     * @param healthOf returns the health of a target
     * @param nowMs the current instant
     * @return true if this call ejected the target
     */
    public static <T> boolean ejectIfUnhealthy(
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
        return (failedProbation || isUnhealthy(target, group, healthOf))
                && !target.isEjected(nowMs)
                && mayEject(target, group, healthOf, nowMs);
    }

    /**
     * Classifies a send without an answer at the deadline. It counts as a failure of the target only if the target had
     * several times the median run time of the kind; otherwise the deadline was too short.
     *
     * @param tookUs the time in microseconds that the target had
     * @param kind the run-time estimate of the kind of work
     * @return {@code FAILED} or {@code ABANDONED}
     */
    public static SendOutcome classifyTimeout(long tookUs, RunTimeEstimate kind) {
        boolean known = kind.samples() > 0;
        return known && tookUs > SILENCE_FACTOR * kind.p50Us() ? SendOutcome.FAILED : SendOutcome.ABANDONED;
    }

    private static <T> boolean isUnhealthy(
            TargetHealth target, Collection<T> group, Function<T, TargetHealth> healthOf) {
        if (target.failuresInRow() >= FAILURES_IN_ROW) {
            return true;
        }
        if (target.outcomes() < MIN_OUTCOMES) {
            return false;
        }
        return target.failureShare() > FAILURE_SHARE || isSlow(target, group, healthOf);
    }

    /** Checks whether the target's slowdown exceeds {@code SLOW_FACTOR} times the median, without sorting. */
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
        int ejected = 0;
        for (T one : group) {
            TargetHealth other = healthOf.apply(one);
            ejected += other != target && other.isEjected(nowMs) ? 1 : 0;
        }
        return (ejected + 1) * 2 <= group.size();
    }
}
