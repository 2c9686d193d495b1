package org.cornelcove.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcove.entry.FakeTarget.Behaviour;
import org.cornelcove.model.error.ErrorKind;

/**
 * A sequential reference model of the entry, with one map for each class: it runs one request after the other, never
 * refuses for lack of targets, and never unlocks a key whose outcome is unknown.
 */
final class NaiveEntry {
    /** The behaviour of the target, and the run state that it leads to. */
    enum Does {
        ECHO(Behaviour.ECHO, RunState.DONE),
        ECHO_CHUNKED(Behaviour.ECHO_CHUNKED, RunState.DONE),
        REFUSE(Behaviour.REFUSE, RunState.NOT_RUN),
        DIE_AFTER_ACCEPT(Behaviour.DIE_AFTER_ACCEPT, RunState.UNKNOWN),
        CUT_LENGTH(Behaviour.CUT_LENGTH, RunState.UNKNOWN),
        CUT_HEAD(Behaviour.CUT_HEAD, RunState.UNKNOWN),
        CUT_CHUNKED(Behaviour.CUT_CHUNKED, RunState.UNKNOWN);

        final Behaviour behaviour;
        final RunState run;

        Does(Behaviour behaviour, RunState run) {
            this.behaviour = behaviour;
            this.run = run;
        }
    }

    /** A request; the same key with another behaviour or body counts as different content. */
    record TestRequest(String id, String requestClass, String key, Does does, String body) {
        String uri() {
            return "/quote?does=" + does;
        }
    }

    /** The answer to the caller, and whether the target ran the request. */
    record Result(RunState run, Optional<ErrorKind> error, String body, boolean ran) {}

    private record Kept(TestRequest first, Result told) {}

    private final Map<String, Kept> once = new HashMap<>();
    private final Set<String> exclusive = new HashSet<>();

    Result answer(TestRequest request) {
        return switch (request.requestClass()) {
            case "once" -> once(request);
            case "exclusive" -> exclusive(request);
            default -> run(request);
        };
    }

    private Result once(TestRequest request) {
        Kept kept = once.get(request.key());
        if (kept == null) {
            Result result = run(request);
            if (result.ran()) {
                once.put(request.key(), new Kept(request, result));
            }
            return result;
        }
        boolean same =
                kept.first().uri().equals(request.uri()) && kept.first().body().equals(request.body());
        if (!same) {
            return new Result(RunState.NOT_RUN, Optional.of(ErrorKind.KEY_REUSED), "", false);
        }
        return new Result(kept.told().run(), kept.told().error(), kept.told().body(), false);
    }

    private Result exclusive(TestRequest request) {
        if (exclusive.contains(request.key())) {
            return new Result(RunState.NOT_RUN, Optional.of(ErrorKind.KEY_IN_FLIGHT), "", false);
        }
        Result result = run(request);
        if (result.run() == RunState.UNKNOWN) {
            exclusive.add(request.key());
        }
        return result;
    }

    private static Result run(TestRequest request) {
        return switch (request.does().run) {
            case DONE -> new Result(RunState.DONE, Optional.empty(), request.id() + "|" + request.body(), true);
            case NOT_RUN -> new Result(RunState.NOT_RUN, Optional.of(ErrorKind.NOT_RUN), "", false);
            case UNKNOWN -> new Result(RunState.UNKNOWN, Optional.of(ErrorKind.OUTCOME_UNKNOWN), "", true);
        };
    }

    /** Undoes a request that the entry refused without running it. */
    void refused(TestRequest request) {
        Kept kept = once.get(request.key());
        if (request.requestClass().equals("once")
                && kept != null
                && kept.first().id().equals(request.id())) {
            once.remove(request.key());
        }
        if (request.requestClass().equals("exclusive")) {
            exclusive.remove(request.key());
        }
    }

    /** Records that the entry unlocked a key. */
    void freed(TestRequest request) {
        exclusive.remove(request.key());
    }
}
