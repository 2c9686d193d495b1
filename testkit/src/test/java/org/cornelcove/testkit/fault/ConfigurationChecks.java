package org.cornelcove.testkit.fault;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.testkit.History;

/** Checks of configuration, from what operators were told and which paths entries knew. */
final class ConfigurationChecks {
    private ConfigurationChecks() {}

    /** A read that begins after another has ended shows at least as high a version, and a version has one content. */
    static List<String> neverReverts(History history) {
        List<Seen.Shown> shown = history.events(Seen.Shown.class);
        Map<Long, Seen.Shown> byVersion = new HashMap<>();
        List<String> found = new ArrayList<>();
        for (Seen.Shown one : shown) {
            Seen.Shown same = byVersion.putIfAbsent(one.version(), one);
            if (same != null && !same.digest().equals(one.digest())) {
                found.add(same + " and " + one);
            }
            shown.stream()
                    .filter(other -> other.answeredMs() < one.sentMs() && other.version() > one.version())
                    .forEach(other -> found.add(other + " then " + one));
        }
        return found;
    }

    /** Once a change is in force everywhere, every entry knows its path until the next, and none the path before. */
    static List<String> inForce(History history) {
        List<String> found = new ArrayList<>();
        for (Seen.Probe probe : history.events(Seen.Probe.class)) {
            long inForce = history.events(Seen.InForce.class).stream()
                    .filter(told -> told.answeredMs() < probe.sentMs())
                    .mapToLong(Seen.InForce::changeNumber)
                    .max()
                    .orElse(0);
            boolean older = probe.changeNumber() < inForce;
            boolean current = probe.changeNumber() == inForce
                    && history.events(Seen.Proposed.class).stream()
                            .noneMatch(next -> next.changeNumber() > inForce && next.sentMs() <= probe.answeredMs());
            if (older && probe.known() || current && !probe.known()) {
                found.add(probe + " with change " + inForce + " in force");
            }
        }
        return found;
    }

    /** Of equal change numbers one content is accepted, as one version; the others are told its digest. */
    static List<String> oneWinner(History history) {
        Map<Long, Seen.Proposal> winners = new HashMap<>();
        List<String> found = new ArrayList<>();
        for (Seen.Proposal proposal : history.events(Seen.Proposal.class)) {
            if (proposal.version() > 0) {
                Seen.Proposal other = winners.putIfAbsent(proposal.changeNumber(), proposal);
                if (other != null && !other.equals(proposal)) {
                    found.add(other + " and " + proposal);
                }
            }
        }
        for (Seen.Proposal proposal : history.events(Seen.Proposal.class)) {
            Seen.Proposal winner = winners.get(proposal.changeNumber());
            boolean conflict = proposal.error() == ErrorKind.CONFIGURATION_CONFLICT.number();
            if (conflict && winner != null && !proposal.message().contains(winner.digest())) {
                found.add(proposal + " won by " + winner);
            }
            if (winner != null && conflict && winner.digest().equals(proposal.digest())) {
                found.add(proposal + " won itself by " + winner);
            }
        }
        return found;
    }
}
