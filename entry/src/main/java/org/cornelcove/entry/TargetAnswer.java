package org.cornelcove.entry;

import java.util.List;

/**
 * A whole answer of a target.
 *
 * @param status the HTTP status
 * @param headers end-to-end headers
 * @param refusedUnrun whether the target says that it did not run the request
 * @param body the body
 */
record TargetAnswer(int status, List<Header> headers, boolean refusedUnrun, byte[] body) {}
