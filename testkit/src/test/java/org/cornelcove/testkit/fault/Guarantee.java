package org.cornelcove.testkit.fault;

import java.util.List;
import java.util.function.Function;

import org.cornelcove.testkit.History;

/** The guarantees of the system, each with the check that finds its violations in a history. */
enum Guarantee {
    OWN_WHOLE_ANSWER(RequestChecks::ownWholeAnswer),
    NOT_RUN_IS_TRUE(RequestChecks::notRunIsTrue),
    KEY_THAT_RAN_IS_NOT_TOLD_NOT_RUN(RequestChecks::keyThatRanIsNotToldNotRun),
    ONCE_AT_MOST_ONCE(RequestChecks::onceAtMostOnce),
    EXCLUSIVE_NEVER_OVERLAPS(RequestChecks::exclusiveNeverOverlaps),
    LEAVING_TARGET_GETS_NOTHING(RequestChecks::leavingTargetGetsNothing),
    SILENT_TARGET_GETS_NOTHING_NEW(RequestChecks::silentTargetGetsNothingNew),
    FAILED_DISK_STOPS_MEMBER(RequestChecks::failedDiskStopsMember),
    PLANNED_STOP_CUTS_OFF_NOTHING(RequestChecks::plannedStopCutsOffNothing),
    JOB_IN_ONE_PLACE(JobChecks::inOnePlace),
    JOB_FINISHED_ONCE(JobChecks::finishedOnce),
    EVICTED_RESUMES_ONCE(JobChecks::evictedResumesOnce),
    HOST_NEVER_OVERFILLED(JobChecks::hostNeverOverfilled),
    CONFIGURATION_NEVER_REVERTS(ConfigurationChecks::neverReverts),
    CONFIGURATION_IN_FORCE(ConfigurationChecks::inForce),
    ONE_WINNER_OF_A_RACE(ConfigurationChecks::oneWinner);

    private final Function<History, List<String>> check;

    Guarantee(Function<History, List<String>> check) {
        this.check = check;
    }

    /** Returns one description per violation, empty where the guarantee held. */
    List<String> violations(History history) {
        return check.apply(history);
    }
}
