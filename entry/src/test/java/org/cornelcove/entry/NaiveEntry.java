package org.cornelcove.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cornelcove.entry.FakeTarget.Behaviour;
import org.cornelcove.model.error.ErrorKind;

/**
 * The entry with one thread, one map for each class and no cleverness: it runs one request after the other, never
 * refuses for lack of targets, and never frees a key of which the outcome is unknown.
 */
final class NaiveEntry {
    /** What the target does with a request. */
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

    /** A request; the same key with another of the last two is other content. */
    record Asked(String id, String requestClass, String key, Does does, String body) {
        String uri() {
            return "/quote?does=" + does;
        }
    }

    /** What the caller is told, and whether the target ran the request. */
    record Told(RunState run, Optional<ErrorKind> error, String body, boolean ran) {}

    private record Kept(Asked first, Told told) {}

    private final Map<String, Kept> once = new HashMap<>();
    private final Set<String> exclusive = new HashSet<>();

    Told answer(Asked asked) {
        return switch (asked.requestClass()) {
            case "once" -> once(asked);
            case "exclusive" -> exclusive(asked);
            default -> run(asked);
        };
    }

    private Told once(Asked asked) {
        Kept kept = once.get(asked.key());
        if (kept == null) {
            Told told = run(asked);
            if (told.ran()) {
                once.put(asked.key(), new Kept(asked, told));
            }
            return told;
        }
        boolean same =
                kept.first().uri().equals(asked.uri()) && kept.first().body().equals(asked.body());
        if (!same) {
            return new Told(RunState.NOT_RUN, Optional.of(ErrorKind.KEY_REUSED), "", false);
        }
        return new Told(kept.told().run(), kept.told().error(), kept.told().body(), false);
    }

    private Told exclusive(Asked asked) {
        if (exclusive.contains(asked.key())) {
            return new Told(RunState.NOT_RUN, Optional.of(ErrorKind.KEY_IN_FLIGHT), "", false);
        }
        Told told = run(asked);
        if (told.run() == RunState.UNKNOWN) {
            exclusive.add(asked.key());
        }
        return told;
    }

    private static Told run(Asked asked) {
        return switch (asked.does().run) {
            case DONE -> new Told(RunState.DONE, Optional.empty(), asked.id() + "|" + asked.body(), true);
            case NOT_RUN -> new Told(RunState.NOT_RUN, Optional.of(ErrorKind.NOT_RUN), "", false);
            case UNKNOWN -> new Told(RunState.UNKNOWN, Optional.of(ErrorKind.OUTCOME_UNKNOWN), "", true);
        };
    }

    /** Takes back a request that the entry refused without running it. */
    void refused(Asked asked) {
        Kept kept = once.get(asked.key());
        if (asked.requestClass().equals("once")
                && kept != null
                && kept.first().id().equals(asked.id())) {
            once.remove(asked.key());
        }
        if (asked.requestClass().equals("exclusive")) {
            exclusive.remove(asked.key());
        }
    }

    /** Takes note that the entry freed a key. */
    void freed(Asked asked) {
        exclusive.remove(asked.key());
    }
}
