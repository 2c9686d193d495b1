package org.cornelcove.model.view;

import java.util.List;

/**
 * The history of a request at each entry that handled it: the one that received it and the one it was forwarded to.
 *
 * @param traces one for each entry that has a record of the request
 * @param coverage which entries were asked
 */
public record RequestExplanation(List<EntryTrace> traces, Coverage coverage) {}
