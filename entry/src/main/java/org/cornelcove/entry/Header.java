package org.cornelcove.entry;

/**
 * A header of a request or answer.
 *
 * @param name as received
 * @param value as received
 */
public record Header(String name, String value) {}
