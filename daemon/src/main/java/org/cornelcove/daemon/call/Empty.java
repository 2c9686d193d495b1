package org.cornelcove.daemon.call;

/** A message without content. */
public record Empty() {
    /** The shared instance. */
    public static final Empty INSTANCE = new Empty();
}
