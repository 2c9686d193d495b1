package org.cornelcove.model.request;

/** How often a request may run; in case of doubt the stricter class applies. */
public enum RequestClass {
    /** May be sent again, also to another target, at any time. */
    SAFE,
    /** Repeatable, but never in two places at once: a booking, a cutting list. */
    EXCLUSIVE,
    /** Non-idempotent, runs at most once: a payout, a cut. */
    ONCE
}
