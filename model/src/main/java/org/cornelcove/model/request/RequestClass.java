package org.cornelcove.model.request;

/** How often a request may be run; when in doubt the stricter one applies. */
public enum RequestClass {
    /** May be asked again elsewhere at any time. */
    SAFE,
    /** Repeatable, but never in two places at once: a booking, a cutting list. */
    EXCLUSIVE,
    /** Non-idempotent, runs at most once: a payout, a cut. */
    ONCE
}
