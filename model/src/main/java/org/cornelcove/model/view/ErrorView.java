package org.cornelcove.model.view;

/**
 * The body of an answer that is an error.
 *
 * @param number the error's documented number
 * @param kind the name of its kind
 * @param severity the name of its severity
 * @param message what happened and the remedy
 */
public record ErrorView(int number, String kind, String severity, String message) {}
