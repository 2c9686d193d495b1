package org.cornelcove.control.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

import org.cornelcove.control.leader.Leases;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.job.JobView;
import org.cornelcove.model.resource.Resources;

/** Checks one guarantee each against a recorded history; an empty list means that it held. */
enum Checkers {
    HOST_NEVER_OVER_CAPACITY(Checkers::overCapacity),
    NO_JOB_IN_TWO_PLACES(Checkers::jobsInTwoPlaces),
    EVICTED_RESUMES_ONCE(Checkers::wrongResumptions),
    JOB_DECIDED_ONCE(Checkers::changedDecisions),
    KEY_DISPATCHED_ONCE(Checkers::repeatedDispatches),
    CONFIGURATION_NEVER_REVERTS(Checkers::configurationReverts),
    ONE_OWNER(Checkers::concurrentOwners),
    EVERY_JOB_ENDS(Checkers::jobsNotEnded);

    private static final Resources CAPACITY = Resources.of(4_000, 1L << 30, 1);

    private final Function<History, List<String>> check;

    Checkers(Function<History, List<String>> check) {
        this.check = check;
    }

    public List<String> violations(History history) {
        return check.apply(history);
    }

    /** The load of a host grows only when an attempt starts, so checking at those times is sufficient. */
    private static List<String> overCapacity(History history) {
        List<String> found = new ArrayList<>();
        for (History.Run run : history.runs) {
            Resources total = Resources.NONE;
            for (History.Run other : history.runs) {
                if (other.host.equals(run.host) && isRunningAt(other, run.fromMs)) {
                    total = total.plus(other.resources);
                }
            }
            if (!total.fitsIn(CAPACITY)) {
                found.add(run.host + " runs " + total + " at " + run.fromMs);
            }
        }
        return found;
    }

    private static boolean isRunningAt(History.Run run, long atMs) {
        return run.fromMs <= atMs && atMs < run.toMs;
    }

    private static List<String> jobsInTwoPlaces(History history) {
        List<String> found = new ArrayList<>();
        for (History.Run run : history.runs) {
            for (History.Run other : history.runs) {
                boolean sameJob = run.attempt.job().equals(other.attempt.job());
                if (run != other && sameJob && isRunningAt(other, run.fromMs)) {
                    found.add(run.attempt + " on " + run.host + " and " + other.attempt + " on " + other.host + " at "
                            + run.fromMs);
                }
            }
        }
        return found;
    }

    /**
     * Checks the evictions that were acknowledged before the lease could expire, so that nothing else ended the
     * attempt. The lease counts from the heartbeat that the order responds to, not from the order's arrival.
     */
    private static List<String> wrongResumptions(History history) {
        List<String> found = new ArrayList<>();
        Set<AttemptId> started = new HashSet<>();
        for (History.Start start : history.starts) {
            if (!started.add(start.attempt())) {
                found.add(start.attempt() + " started twice");
            }
        }
        for (History.Eviction eviction : history.evictions) {
            if (eviction.forgottenMs() - eviction.orderedMs() < Leases.ATTEMPT_LEASE_MS) {
                history.starts.stream()
                        .filter(start ->
                                start.attempt().job().equals(eviction.attempt().job())
                                        && start.attempt().number()
                                                > eviction.attempt().number())
                        .findFirst()
                        .filter(start -> !start.checkpoint().equals(Optional.of(eviction.checkpoint())))
                        .ifPresent(start -> found.add(eviction + " resumed as " + start));
            }
        }
        return found;
    }

    private static List<String> changedDecisions(History history) {
        List<String> found = new ArrayList<>();
        Map<JobId, JobView> last = new HashMap<>();
        for (History.JobObservation observation : history.jobObservations) {
            JobView before = last.put(observation.job().spec().id(), observation.job());
            if (before != null
                    && before.state().isFinal()
                    && before.state() != observation.job().state()) {
                found.add(before + " then " + observation);
            }
            if (before != null && before.attempt() > observation.job().attempt()) {
                found.add("attempt number decreased: " + before + " then " + observation);
            }
        }
        return found;
    }

    private static List<String> repeatedDispatches(History history) {
        List<String> found = new ArrayList<>();
        Map<String, History.Dispatch> dispatched = new HashMap<>();
        for (History.Dispatch dispatch : history.dispatches) {
            History.Dispatch before = dispatched.put(dispatch.key(), dispatch);
            if (before != null) {
                found.add(before + " and " + dispatch);
            }
        }
        return found;
    }

    private static List<String> configurationReverts(History history) {
        List<String> found = new ArrayList<>();
        Map<String, Long> versions = new HashMap<>();
        for (History.Accepted accepted : history.accepted) {
            Long before = versions.put(accepted.digest(), accepted.version());
            if (before != null && before != accepted.version()) {
                found.add(accepted + " had version " + before + " before");
            }
        }
        long newestVersion = 0;
        for (long version : history.observedVersions) {
            if (version < newestVersion) {
                found.add("version " + version + " shown after " + newestVersion);
            }
            newestVersion = version;
        }
        Map<EntryId, Long> served = new HashMap<>();
        for (History.Serving serving : history.servings) {
            Long before = served.put(serving.entry(), serving.version());
            if (before != null && before > serving.version()) {
                found.add(serving.entry() + " went from version " + before + " to " + serving.version());
            }
        }
        Map<Long, History.InForceAnswer> firstAnswers = new TreeMap<>();
        history.inForceAnswers.stream()
                .filter(answer -> answer.inForce().inForce())
                .forEach(answer -> firstAnswers.putIfAbsent(answer.inForce().version(), answer));
        for (History.InForceAnswer answer : firstAnswers.values()) {
            history.servings.stream()
                    .filter(serving -> serving.atMs() > answer.atMs()
                            && serving.version() < answer.inForce().version())
                    .findFirst()
                    .ifPresent(serving -> found.add(answer + " but " + serving.entry() + " served version "
                            + serving.version() + " at " + serving.atMs()));
        }
        return found;
    }

    /** Assumes that each entry dispatches whenever it may, with the longest deadline that the rules allow. */
    private static List<String> concurrentOwners(History history) {
        List<String> found = new ArrayList<>();
        Map<TargetId, History.Serving> targets = new HashMap<>();
        Map<Integer, History.Serving> ranges = new HashMap<>();
        for (History.Serving serving : history.servings) {
            for (TargetId target : serving.targets()) {
                History.Serving before = targets.put(target, serving);
                if (before != null && ofDifferentEntries(before, serving) && before.atMs() == serving.atMs()) {
                    found.add(target + " by " + before.entry() + " and " + serving.entry() + " at " + serving.atMs());
                }
            }
            for (int range : serving.ranges()) {
                History.Serving before = ranges.put(range, serving);
                if (before != null
                        && ofDifferentEntries(before, serving)
                        && serving.atMs() < before.atMs() + FakeOperator.MAX_DEADLINE_MS) {
                    found.add("range " + range + " by " + before.entry() + " at " + before.atMs() + " and "
                            + serving.entry() + " at " + serving.atMs());
                }
            }
        }
        return found;
    }

    private static boolean ofDifferentEntries(History.Serving a, History.Serving b) {
        return !a.entry().equals(b.entry());
    }

    private static List<String> jobsNotEnded(History history) {
        Map<JobId, JobView> last = new HashMap<>();
        history.jobObservations.forEach(
                observation -> last.put(observation.job().spec().id(), observation.job()));
        List<String> found = new ArrayList<>();
        for (JobView job : last.values()) {
            if (!job.state().isFinal()) {
                found.add("not ended: " + job);
            }
        }
        if (last.size() < 7) {
            found.add("only " + last.keySet() + " were shown");
        }
        return found;
    }
}
