package org.cornelcove.model.view;

/** The current state of a control member. */
public enum MemberState {
    /** Leads the group. */
    LEADER,
    /** Votes and follows the leader. */
    FOLLOWER,
    /** Receives the log but does not vote yet. */
    LEARNER,
    /** Does not answer the leader, whether it votes or not. */
    SILENT,
    /** Not known, since no leader answered. */
    UNKNOWN
}
