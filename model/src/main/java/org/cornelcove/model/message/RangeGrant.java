package org.cornelcove.model.message;

/**
 * The ownership of a range of exclusive keys.
 *
 * @param range the number of the range
 * @param epoch rises with each change of owner
 * @param waitMs how long the previous owner's requests may still run, in milliseconds; no key of the range is served until
 *     then
 */
public record RangeGrant(int range, long epoch, long waitMs) {}
