package org.cornelcove.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.request.RequestClass;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;

/**
 * Handles HTTP requests of callers: reads the complete request, submits it, and writes the answer when it is available.
 * No thread blocks in between.
 */
final class CallerHandler extends HttpHandler {
    private static final System.Logger LOGGER = System.getLogger(CallerHandler.class.getName());
    private static final String HEALTHY_PATH = "/-/healthy";
    private static final String READY_PATH = "/-/ready";
    private static final String OWN_PATHS = "/-/";
    private static final RequestExecutorProvider SAME_THREAD = new RequestExecutorProvider.SameThreadProvider();
    private static final int OK = 200;
    private static final byte[] NO_BODY = {};
    private static final byte[] OK_BODY = "ok\n".getBytes(StandardCharsets.US_ASCII);

    private final EntryClock clock;
    private final Supplier<EntryView> view;
    private final Supplier<Optional<String>> unreadyReason;
    private final Supplier<Optional<String>> closedReason;
    private final HeadReader heads;
    private final RequestFlow flow;
    private final Refusals refusals;

    CallerHandler(
            Dispatcher.Parts parts,
            HeadReader heads,
            RequestFlow flow,
            Supplier<Optional<String>> unreadyReason,
            Supplier<Optional<String>> closedReason) {
        clock = parts.clock();
        view = parts.view();
        refusals = parts.refusals();
        this.heads = heads;
        this.flow = flow;
        this.unreadyReason = unreadyReason;
        this.closedReason = closedReason;
        setAllowEncodedSlash(true);
    }

    @Override
    public RequestExecutorProvider getRequestExecutorProvider() {
        return SAME_THREAD;
    }

    @Override
    public void service(Request request, Response response) {
        if (request.getRequestURI().startsWith(OWN_PATHS)) {
            answerOwnPath(request, response);
            return;
        }
        long now = clock.nowNs().getAsLong();
        EntryView current = view.get();
        Optional<String> closed = closedReason.get();
        if (closed.isPresent()) {
            refuse(request, response, "", refuseClosed(request, current, now, closed.get()));
            return;
        }
        Either<Failure, RequestHead> head = heads.read(request, current, now);
        if (head.isLeft()) {
            refuse(request, response, "", refusals.invalid(head.getLeft()));
            return;
        }
        readBody(request, response, head.get());
    }

    private Answer refuseClosed(Request request, EntryView current, long now, String why) {
        boolean mayBeOnce = heads.read(request, current, now)
                .fold(
                        unread -> request.getHeader(Headers.KEY) != null,
                        head -> head.requestClass() == RequestClass.ONCE);
        return mayBeOnce ? refusals.keyUnchecked(why) : refusals.notReady(why);
    }

    private void answerOwnPath(Request request, Response response) {
        String path = request.getRequestURI();
        Optional<String> unready = path.equals(HEALTHY_PATH) ? Optional.empty() : unreadyReason.get();
        if (!path.equals(HEALTHY_PATH) && !path.equals(READY_PATH)) {
            write(response, "", refusals.invalid(Failure.of(ErrorKind.SERVICE_UNKNOWN, path)));
        } else if (unready.isPresent()) {
            write(response, "", refusals.notReady(unready.get()));
        } else {
            response.setStatus(OK);
            response.setContentType("text/plain");
            response.setContentLengthLong(OK_BODY.length);
            writeBody(response, OK_BODY);
        }
    }

    /** Answers a request without reading its body; the listener skips the body or closes the connection. */
    private void refuse(Request request, Response response, String id, Answer answer) {
        write(response, id, answer);
    }

    private void readBody(Request request, Response response, RequestHead head) {
        // Otherwise the listener disables reading when this method returns, which may be after the body reader asked
        // for
        // more data, or after the answer was written and the connection was set to read the next request.
        request.getContext().getInternalContext().setManualIOEventControl();
        response.suspend();
        long announced = request.getContentLengthLong();
        if (announced <= 0 && !request.getRequest().isChunked()) {
            run(response, head, NO_BODY);
            return;
        }
        if (announced > head.service().maxBodyBytes()) {
            resume(response, head.id(), tooLarge(head));
            return;
        }
        BodyReader.read(request.getNIOInputStream(), head.service().maxBodyBytes(), new BodyReader.Result() {
            @Override
            public void onComplete(byte[] body) {
                run(response, head, body);
            }

            @Override
            public void onTooLarge() {
                Failure failure =
                        Failure.of(ErrorKind.BODY_TOO_LARGE, head.service().maxBodyBytes());
                resume(response, head.id(), refusals.invalid(failure));
            }

            @Override
            public void onCallerClosed(Throwable error) {
                response.resume();
            }
        });
    }

    private Answer tooLarge(RequestHead head) {
        return refusals.invalid(
                Failure.of(ErrorKind.BODY_TOO_LARGE, head.service().maxBodyBytes()));
    }

    private void run(Response response, RequestHead head, byte[] body) {
        flow.run(head.withBody(body), false).thenAccept(answer -> resume(response, head.id(), answer));
    }

    private static void resume(Response response, String id, Answer answer) {
        try {
            write(response, id, answer);
            response.resume();
        } catch (IllegalStateException e) {
            LOGGER.log(System.Logger.Level.DEBUG, "the caller closed the connection", e);
        }
    }

    private static void write(Response response, String id, Answer answer) {
        response.setStatus(answer.status());
        response.setContentLengthLong(answer.body().length);
        for (Header header : answer.headers()) {
            if (header.name().equals(Headers.CONTENT_LENGTH)) {
                response.setContentLengthLong(Long.parseLong(header.value()));
            } else {
                response.addHeader(header.name(), header.value());
            }
        }
        if (!id.isEmpty()) {
            response.setHeader(Headers.REQUEST_ID, id);
        }
        response.setHeader(Headers.RUN, runText(answer.run()));
        writeBody(response, answer.body());
    }

    private static String runText(RunState run) {
        return switch (run) {
            case DONE -> "done";
            case NOT_RUN -> "not-run";
            case UNKNOWN -> "unknown";
        };
    }

    private static void writeBody(Response response, byte[] body) {
        try {
            response.getNIOOutputStream().write(body);
        } catch (IOException e) {
            LOGGER.log(System.Logger.Level.DEBUG, "the caller closed the connection", e);
        }
    }
}
