package org.cornelcove.model.view;

import java.util.List;

/**
 * Why a job or request is where it is.
 *
 * @param lines one step each, oldest first
 */
public record ExplainView(List<String> lines) {}
