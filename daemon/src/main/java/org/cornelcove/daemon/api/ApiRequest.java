package org.cornelcove.daemon.api;

import java.util.List;

/**
 * A request to the api listener.
 *
 * @param arguments the decoded path segments that match the wildcards of the route, in order
 * @param body the body
 */
public record ApiRequest(List<String> arguments, byte[] body) {
    /** Returns the path argument at the position, from 0. */
    public String argument(int position) {
        return arguments.get(position);
    }
}
