package org.cornelcove.daemon.api;

import java.util.List;

/**
 * A request to the api listener.
 *
 * @param arguments what stands in the path where the route has a star, in order
 * @param body the body
 */
public record ApiRequest(List<String> arguments, byte[] body) {
    /** Returns the given argument of the path. */
    public String argument(int position) {
        return arguments.get(position);
    }
}
