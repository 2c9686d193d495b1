package org.cornelcove.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import io.vavr.control.Either;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.Names;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.ServiceRule;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.util.MimeHeaders;

/** Parses the request line and headers of a caller's request and validates the Cornelcove headers. */
final class HeadReader {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final String DEFAULT_TENANT = "default";
    private static final String NAME_SHAPE = "1 to 128 letters, digits, '.', '-' or '_'";

    private final String idPrefix;
    private final AtomicLong idNumbers = new AtomicLong();

    HeadReader(EntrySettings settings) {
        idPrefix = settings.entry() + "-" + Long.toString(settings.incarnation(), Character.MAX_RADIX) + "-";
    }

    /** Returns the head, or the first failure found. */
    Either<Failure, RequestHead> read(Request request, EntryView view, long nowNs) {
        String path = request.getRequestURI();
        Optional<ServiceRule> service = view.serviceOf(path);
        if (service.isEmpty()) {
            return Either.left(Failure.of(ErrorKind.SERVICE_UNKNOWN, path));
        }
        Either<Failure, String> tenant = name(request, Headers.TENANT, DEFAULT_TENANT);
        Either<Failure, String> id = name(request, Headers.REQUEST_ID, "");
        Either<Failure, String> key = name(request, Headers.KEY, "");
        Either<Failure, RequestClass> requestClass = requestClass(request, service.get());
        Either<Failure, Long> deadlineMs = deadlineMs(request, service.get());
        return firstLeft(tenant, id, key, requestClass, deadlineMs)
                .<Either<Failure, RequestHead>>map(Either::left)
                .orElseGet(() -> withKey(new RequestHead(
                        id.get().isEmpty() ? newId() : id.get(),
                        service.get(),
                        tenant.get(),
                        requestClass.get(),
                        key.get(),
                        nowNs,
                        nowNs + deadlineMs.get() * NANOS_PER_MS,
                        request.getMethod().getMethodString(),
                        uri(request, path),
                        headers(request))));
    }

    String newId() {
        return idPrefix + Long.toString(idNumbers.incrementAndGet(), Character.MAX_RADIX);
    }

    private static Optional<Failure> firstLeft(Either<?, ?>... all) {
        for (Either<?, ?> one : all) {
            if (one.isLeft()) {
                return Optional.of((Failure) one.getLeft());
            }
        }
        return Optional.empty();
    }

    private static Either<Failure, RequestHead> withKey(RequestHead head) {
        if (!head.key().isEmpty() || head.requestClass() == RequestClass.SAFE) {
            return Either.right(head);
        }
        if (head.requestClass() == RequestClass.ONCE) {
            return Either.left(Failure.of(ErrorKind.KEY_MISSING, Headers.KEY));
        }
        return Either.right(new RequestHead(
                head.id(),
                head.service(),
                head.tenant(),
                head.requestClass(),
                head.id(),
                head.arrivedNs(),
                head.deadlineNs(),
                head.method(),
                head.uri(),
                head.headers()));
    }

    private static Either<Failure, String> name(Request request, String header, String otherwise) {
        String text = request.getHeader(header);
        if (text == null) {
            return Either.right(otherwise);
        }
        return Names.isName(text) ? Either.right(text) : invalid(header, text, NAME_SHAPE);
    }

    private static <T> Either<Failure, T> invalid(String header, String text, String remedy) {
        String shown = text.length() > 64 ? text.substring(0, 64) + "..." : text;
        return Either.left(Failure.of(ErrorKind.HEADER_INVALID, header, shown, remedy));
    }

    private static Either<Failure, RequestClass> requestClass(Request request, ServiceRule service) {
        String text = request.getHeader(Headers.CLASS);
        if (text == null) {
            return Either.right(isReadMethod(request) ? RequestClass.SAFE : service.defaultClass());
        }
        for (RequestClass one : RequestClass.values()) {
            if (one.name().toLowerCase(Locale.ROOT).equals(text)) {
                return Either.right(one);
            }
        }
        return invalid(Headers.CLASS, text, "safe, exclusive or once");
    }

    private static boolean isReadMethod(Request request) {
        return switch (request.getMethod().getMethodString()) {
            case "GET", "HEAD", "OPTIONS" -> true;
            default -> false;
        };
    }

    private static Either<Failure, Long> deadlineMs(Request request, ServiceRule service) {
        String text = request.getHeader(Headers.DEADLINE_MS);
        if (text == null) {
            return Either.right(service.deadlineMs());
        }
        boolean isNumber = text.length() <= 9 && !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
        long ms = isNumber ? Long.parseLong(text) : 0;
        return ms >= 1 && ms <= service.maxDeadlineMs()
                ? Either.right(ms)
                : invalid(Headers.DEADLINE_MS, text, "1 to " + service.maxDeadlineMs());
    }

    private static String uri(Request request, String path) {
        String query = request.getQueryString();
        return query == null || query.isEmpty() ? path : path + "?" + query;
    }

    private static List<Header> headers(Request request) {
        MimeHeaders all = request.getRequest().getHeaders();
        String options = request.getHeader("Connection");
        List<Header> passed = new ArrayList<>(all.size());
        for (int i = 0; i < all.size(); i++) {
            String name = all.getName(i).toString();
            if (Headers.isForwarded(name, options)) {
                passed.add(new Header(name, all.getValue(i).toString()));
            }
        }
        return passed;
    }
}
