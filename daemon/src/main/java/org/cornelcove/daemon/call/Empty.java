package org.cornelcove.daemon.call;

/** A message that says nothing but that it was sent. */
public record Empty() {
    /** The only value needed. */
    public static final Empty INSTANCE = new Empty();
}
