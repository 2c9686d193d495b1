package org.cornelcove.model.view;

import java.util.List;

/**
 * Why a job or a request is where it is.
 *
 * @param lines one reason each, the most telling first
 */
public record Explanation(List<String> lines) {}
