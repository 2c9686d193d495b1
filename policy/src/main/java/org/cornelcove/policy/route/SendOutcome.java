package org.cornelcove.policy.route;

/** The outcome of a send to a target, as it affects the target's health. */
public enum SendOutcome {
    /** The target answered with a status below 500. */
    ANSWERED,
    /** The target failed, refused or did not answer in time. */
    FAILED,
    /** The send ended for a reason that is no evidence about the target, such as a caller that disconnected. */
    ABANDONED
}
