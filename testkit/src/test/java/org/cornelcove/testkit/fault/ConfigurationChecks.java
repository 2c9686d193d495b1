package org.cornelcove.testkit.fault;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.testkit.History;

/** Checks of the configuration, based on the answers to operators and on the paths that entries served. */
final class ConfigurationChecks {
    private ConfigurationChecks() {}

    /**
     * A read that starts after another has ended returns at least the same version, and each version has one digest.
     */
    static List<String> neverReverts(History history) {
        List<Seen.Shown> shown = history.events(Seen.Shown.class);
        Map<Long, Seen.Shown> byVersion = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (Seen.Shown read : shown) {
            Seen.Shown sameVersion = byVersion.putIfAbsent(read.version(), read);
            if (sameVersion != null && !sameVersion.digest().equals(read.digest())) {
                violations.add(sameVersion + " and " + read);
            }
            shown.stream()
                    .filter(other -> other.answeredMs() < read.sentMs() && other.version() > read.version())
                    .forEach(other -> violations.add(other + " then " + read));
        }
        return violations;
    }

    /**
     * Once a change is in force, every entry serves its path until the next proposal, and none serves an older path.
     */
    static List<String> inForce(History history) {
        List<String> violations = new ArrayList<>();
        for (Seen.Probe probe : history.events(Seen.Probe.class)) {
            long inForce = history.events(Seen.InForce.class).stream()
                    .filter(observed -> observed.answeredMs() < probe.sentMs())
                    .mapToLong(Seen.InForce::changeNumber)
                    .max()
                    .orElse(0);
            boolean older = probe.changeNumber() < inForce;
            boolean current = probe.changeNumber() == inForce
                    && history.events(Seen.Proposed.class).stream()
                            .noneMatch(next -> next.changeNumber() > inForce && next.sentMs() <= probe.answeredMs());
            if (older && probe.known() || current && !probe.known()) {
                violations.add(probe + " with change " + inForce + " in force");
            }
        }
        return violations;
    }

    /** One content per change number is accepted, as one version; conflicting proposals receive the accepted digest. */
    static List<String> oneWinner(History history) {
        Map<Long, Seen.Proposal> winners = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (Seen.Proposal proposal : history.events(Seen.Proposal.class)) {
            if (proposal.version() > 0) {
                Seen.Proposal other = winners.putIfAbsent(proposal.changeNumber(), proposal);
                if (other != null && !other.equals(proposal)) {
                    violations.add(other + " and " + proposal);
                }
            }
        }
        for (Seen.Proposal proposal : history.events(Seen.Proposal.class)) {
            Seen.Proposal winner = winners.get(proposal.changeNumber());
            boolean conflict = proposal.error() == ErrorKind.CONFIGURATION_CONFLICT.number();
            if (conflict && winner != null && !proposal.message().contains(winner.digest())) {
                violations.add(proposal + " won by " + winner);
            }
            if (winner != null && conflict && winner.digest().equals(proposal.digest())) {
                violations.add(proposal + " won itself by " + winner);
            }
        }
        return violations;
    }
}
