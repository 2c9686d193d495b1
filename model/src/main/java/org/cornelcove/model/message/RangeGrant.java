package org.cornelcove.model.message;

/**
 * The ownership of a range of exclusive keys.
 *
 * @param range the number of the range
 * @param epoch rises with each change of owner
 * @param waitMs until this has passed the previous owner's requests may still run, so no key of the range is served
 */
public record RangeGrant(int range, long epoch, long waitMs) {}
