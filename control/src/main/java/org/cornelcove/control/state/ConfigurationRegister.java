package org.cornelcove.control.state;

import java.util.List;
import java.util.TreeMap;

import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;

/**
 * The newest configuration and the most recently accepted proposals.
 *
 * <p>A proposal is accepted when its change number is above the newest. Concurrent proposals with equal numbers are
 * distinguished by the digest: the same digest is a resend and gets the outcome of the first; another digest is
 * refused, with the accepted digest in the error. Example: 5/aa becomes version 1, 6/bb version 2; 5/aa again gives
 * version 1, 5/cc is a conflict with aa, 4 is stale.
 */
public final class ConfigurationRegister {
    /** The number of accepted proposals that are kept; a resend of an older one is refused as stale. */
    static final int KEPT_CHANGES = 512;

    /** The number of recent versions whose deadlines may still apply to requests in flight. */
    private static final int DEADLINE_VERSIONS = 64;

    private final TreeMap<Long, AcceptedChange> changes = new TreeMap<>();
    private ConfigurationRecord newest = ConfigurationRecord.NONE;

    Outcome propose(ProposeConfiguration command) {
        AcceptedChange existing = changes.get(command.changeNumber());
        if (existing != null) {
            return existing.digest().equals(command.digest())
                    ? new Done(existing.version())
                    : new Refused(
                            Failure.of(ErrorKind.CONFIGURATION_CONFLICT, command.changeNumber(), existing.digest()));
        }
        if (command.changeNumber() <= newest.changeNumber()) {
            return new Refused(
                    Failure.of(ErrorKind.CONFIGURATION_STALE, command.changeNumber(), newest.changeNumber()));
        }
        String error = validate(command.rules());
        if (!error.isEmpty()) {
            return new Refused(Failure.of(ErrorKind.CONFIGURATION_INVALID, error));
        }
        accept(command);
        return new Done(newest.version());
    }

    private void accept(ProposeConfiguration command) {
        newest = new ConfigurationRecord(
                newest.version() + 1, command.changeNumber(), command.operator(), command.digest(), command.rules());
        long maxDeadlineMs = command.rules().services().values().stream()
                .mapToLong(ServiceRule::maxDeadlineMs)
                .max()
                .orElse(0);
        changes.put(
                command.changeNumber(),
                new AcceptedChange(command.changeNumber(), command.digest(), newest.version(), maxDeadlineMs));
        while (changes.size() > KEPT_CHANGES) {
            changes.pollFirstEntry();
        }
    }

    private static String validate(RuleSet rules) {
        int reserve = rules.batch().serviceReservePercent();
        if (reserve < 0 || reserve > 100) {
            return "serviceReservePercent " + reserve + " is not from 0 to 100";
        }
        if (rules.batch().maxAttempts() < 1) {
            return "maxAttempts " + rules.batch().maxAttempts() + " is below 1";
        }
        return rules.teams().values().stream()
                .filter(team -> team.weight() < 1 || team.quota().isNegative())
                .map(team -> "team " + team.name() + " has a weight below 1 or a negative quota")
                .findFirst()
                .orElse("");
    }

    void restore(ConfigurationRecord record, List<AcceptedChange> accepted) {
        newest = record;
        changes.clear();
        accepted.forEach(change -> changes.put(change.changeNumber(), change));
    }

    /**
     * Returns the newest configuration.
     *
     * @return the configuration, {@link ConfigurationRecord#NONE} before the first proposal
     */
    public ConfigurationRecord newest() {
        return newest;
    }

    /**
     * Returns the accepted proposals that are kept, by change number.
     *
     * @return a copy, lowest change number first
     */
    public List<AcceptedChange> changes() {
        return List.copyOf(changes.values());
    }

    /**
     * Returns the longest deadline that a request in flight may have.
     *
     * @return the duration in milliseconds, 0 without services
     */
    public long maxDeadlineMs() {
        return changes.descendingMap().values().stream()
                .limit(DEADLINE_VERSIONS)
                .mapToLong(AcceptedChange::maxDeadlineMs)
                .max()
                .orElse(0);
    }
}
