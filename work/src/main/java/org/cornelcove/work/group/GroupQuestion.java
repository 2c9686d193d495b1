package org.cornelcove.work.group;

/**
 * Asks for the group.
 *
 * @param asker the address of the process that asks
 */
public record GroupQuestion(String asker) {}
