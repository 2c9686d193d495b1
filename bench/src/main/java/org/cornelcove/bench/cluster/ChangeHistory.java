package org.cornelcove.bench.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * What an operator saw of numbered changes: when each was due, the version it became, what its resend was answered, when
 * it was in force, and what reads of the newest configuration showed meanwhile.
 *
 * <p>A version is in force once the cluster says so of it or of a later one. Its time counts from the instant at which
 * the change was due, not from when it could be sent, so that changes which wait for a leader are counted in full.
 *
 * <p>Example: change 5 due at 0 ms becomes version 5, change 6 due at 24 ms version 6; at 300 ms version 6 is told to be
 * in force, not asked about 5: change 5 took 300 ms, change 6 took 276 ms.
 */
final class ChangeHistory {
    private static final long NOT_YET = -1;

    private static final class Change {
        private final long dueNs;
        private long version = NOT_YET;
        private long acceptedNs;
        private OptionalLong inForceNs = OptionalLong.empty();

        private Change(long dueNs) {
            this.dueNs = dueNs;
        }
    }

    /**
     * A read of the newest configuration.
     *
     * @param version the version it showed
     * @param changeNumber the change it showed
     * @param sentNs when it was sent
     * @param answeredNs when it was answered
     */
    record Shown(long version, long changeNumber, long sentNs, long answeredNs) {}

    private final TreeMap<Long, Change> changes = new TreeMap<>();
    /** Change numbers by version, for those accepted and not in force yet. */
    private final TreeMap<Long, Long> outstanding = new TreeMap<>();

    private final Map<Long, Long> numbersByVersion = new HashMap<>();
    private final List<Shown> shown = new ArrayList<>();
    private final List<String> otherOutcomes = new ArrayList<>();

    synchronized void due(long number, long dueNs) {
        changes.put(number, new Change(dueNs));
    }

    synchronized void accepted(long number, long version, long answeredNs) {
        changes.get(number).version = version;
        changes.get(number).acceptedNs = answeredNs;
        outstanding.put(version, number);
        numbersByVersion.put(version, number);
    }

    /** Notes what the resend of an accepted change was answered: a version, or nothing where it was refused. */
    synchronized void resent(long number, OptionalLong version) {
        long first = changes.get(number).version;
        if (!version.equals(OptionalLong.of(first))) {
            otherOutcomes.add("change " + number + " became version " + first + ", its resend was told " + version);
        }
    }

    /** Notes that a version, and so each before it, is in force. */
    synchronized void inForce(long version, long answeredNs) {
        Map<Long, Long> done = outstanding.headMap(version, true);
        done.values().forEach(number -> changes.get(number).inForceNs = OptionalLong.of(answeredNs));
        done.clear();
    }

    synchronized void shown(Shown one) {
        shown.add(one);
    }

    /** Returns the versions that are accepted and not known to be in force, lowest first. */
    synchronized List<Long> outstanding() {
        return List.copyOf(outstanding.keySet());
    }

    /** Returns the times from due to in force, in milliseconds. */
    synchronized Histogram waitsMs() {
        Histogram waits = new Histogram(3);
        changes.values()
                .forEach(change -> change.inForceNs.ifPresent(
                        at -> waits.recordValue(TimeUnit.NANOSECONDS.toMillis(at - change.dueNs))));
        return waits;
    }

    /** Returns the times from due to accepted, in milliseconds. */
    synchronized Histogram acceptanceMs() {
        Histogram waits = new Histogram(3);
        changes.values().stream()
                .filter(change -> change.version != NOT_YET)
                .forEach(change -> waits.recordValue(TimeUnit.NANOSECONDS.toMillis(change.acceptedNs - change.dueNs)));
        return waits;
    }

    /** Returns what must not be: changes lost, versions that don't rise, reverts, and other answers to resends. */
    synchronized List<String> faults() {
        List<String> faults = new ArrayList<>(otherOutcomes);
        addLost(faults);
        addUnordered(faults);
        addReverts(faults);
        return faults;
    }

    private void addLost(List<String> faults) {
        changes.forEach((number, change) -> {
            if (change.version == NOT_YET) {
                faults.add("change " + number + " was never accepted");
            } else if (change.inForceNs.isEmpty()) {
                faults.add("change " + number + " was never in force");
            }
        });
    }

    /** Versions rise by one with each change, since nobody else changes anything; a gap is a change applied twice. */
    private void addUnordered(List<String> faults) {
        long before = NOT_YET;
        for (Map.Entry<Long, Change> one : changes.entrySet()) {
            long version = one.getValue().version;
            if (before != NOT_YET && version != NOT_YET && version != before + 1) {
                faults.add("change " + one.getKey() + " became version " + version + " after version " + before);
            }
            before = version == NOT_YET ? before : version;
        }
    }

    /** A read that began after another had ended shows no lower version, and a version shows its own change. */
    private void addReverts(List<String> faults) {
        for (Shown one : shown) {
            Long number = numbersByVersion.get(one.version());
            if (number != null && number != one.changeNumber()) {
                faults.add("version " + one.version() + " was shown as change " + one.changeNumber() + " and is change "
                        + number);
            }
            shown.stream()
                    .filter(earlier -> earlier.answeredNs() < one.sentNs() && earlier.version() > one.version())
                    .findFirst()
                    .ifPresent(earlier ->
                            faults.add("version " + one.version() + " was shown after version " + earlier.version()));
        }
    }
}
