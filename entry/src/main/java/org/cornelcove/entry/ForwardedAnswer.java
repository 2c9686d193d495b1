package org.cornelcove.entry;

import java.util.List;

/**
 * The answer to a forwarded request.
 *
 * @param run the run state of the request
 * @param status the HTTP status
 * @param headers end-to-end headers
 * @param body the body
 */
public record ForwardedAnswer(RunState run, int status, List<Header> headers, byte[] body) {}
