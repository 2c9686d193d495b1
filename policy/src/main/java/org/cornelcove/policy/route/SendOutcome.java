package org.cornelcove.policy.route;

/** How a send to a target ended, as far as the target's health is concerned. */
public enum SendOutcome {
    /** It answered, whatever the status of the answer below 500. */
    ANSWERED,
    /** It failed, refused, or did not answer in time. */
    FAILED,
    /** The caller went away; says nothing about the target. */
    ABANDONED
}
