package org.cornelcove.cli.client;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/**
 * The api listeners to try, in order.
 *
 * @param bases {@code http://host:port} of each
 */
public record Endpoints(List<URI> bases) {
    /** Parses {@code host:port} items; {@code http://} in front is allowed. */
    public static Either<List<Failure>, Endpoints> of(List<String> items) {
        List<URI> bases = new ArrayList<>();
        List<Failure> failures = new ArrayList<>();
        for (String item : items) {
            read(item.trim()).peek(bases::add).peekLeft(failures::add);
        }
        return failures.isEmpty() ? Either.right(new Endpoints(bases)) : Either.left(failures);
    }

    private static Either<Failure, URI> read(String item) {
        try {
            URI base = new URI(item.startsWith("http://") ? item : "http://" + item);
            boolean plain = base.getRawPath().matches("/?") && base.getRawQuery() == null;
            if (base.getHost() != null && base.getPort() > 0 && base.getPort() < 65_536 && plain) {
                return Either.right(new URI("http", null, base.getHost(), base.getPort(), null, null, null));
            }
        } catch (URISyntaxException e) {
            // rejected below, like an address without a port
        }
        String message = "--endpoint '" + item + "' is not host:port, as 10.0.0.1:7401";
        return Either.left(Failure.of(ErrorKind.USAGE, message));
    }
}
