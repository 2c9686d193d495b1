package org.cornelcove.work.group;

/**
 * A query for the group as known to a control host.
 *
 * @param asker the address of the querying process
 */
public record GroupQuery(String asker) {}
