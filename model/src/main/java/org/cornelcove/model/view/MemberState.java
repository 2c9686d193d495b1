package org.cornelcove.model.view;

/** What a control member does now. */
public enum MemberState {
    /** Leads the group. */
    LEADER,
    /** Votes and follows the leader. */
    FOLLOWER,
    /** Receives the log and does not vote yet. */
    LEARNER,
    /** Does not answer the leader, whether it votes or not. */
    SILENT,
    /** Not known, since no leader answered. */
    UNKNOWN
}
