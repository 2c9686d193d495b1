package org.cornelcove.daemon.api;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A route of the api listener.
 *
 * @param method the HTTP method
 * @param segments the segments of the path; {@code *} matches any single segment
 * @param handler computes the answer without blocking
 */
record Route(String method, List<String> segments, Function<ApiRequest, CompletableFuture<ApiAnswer>> handler) {
    private static final String WILDCARD = "*";

    static Route of(String method, String path, Function<ApiRequest, CompletableFuture<ApiAnswer>> handler) {
        return new Route(method, split(path), handler);
    }

    static List<String> split(String path) {
        return List.of(path.substring(1).split("/"));
    }

    /** Returns the segments that match the wildcards, or empty if the path does not match. */
    Optional<List<String>> match(List<String> path) {
        if (path.size() != segments.size()) {
            return Optional.empty();
        }
        List<String> arguments = new ArrayList<>();
        for (int i = 0; i < path.size(); i++) {
            if (WILDCARD.equals(segments.get(i))) {
                arguments.add(decode(path.get(i)));
            } else if (!segments.get(i).equals(path.get(i))) {
                return Optional.empty();
            }
        }
        return Optional.of(arguments);
    }

    private static String decode(String segment) {
        return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
    }
}
