package org.cornelcove.model.view;

import java.util.List;

/**
 * What became of a request, by each entry that knows it: the one that took it, and the one that it was forwarded to.
 *
 * @param traces one for each entry that knows the request
 * @param coverage which entries were asked
 */
public record RequestExplanation(List<EntryTrace> traces, Coverage coverage) {}
