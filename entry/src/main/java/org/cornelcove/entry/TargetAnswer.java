package org.cornelcove.entry;

import java.util.List;

/**
 * A complete answer of a target.
 *
 * @param status the HTTP status
 * @param headers end-to-end headers
 * @param refusedBeforeRun whether the target refused the request without running it
 * @param body the body
 */
record TargetAnswer(int status, List<Header> headers, boolean refusedBeforeRun, byte[] body) {}
