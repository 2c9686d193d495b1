package org.cornelcove.control.state;

import java.util.Comparator;

import org.cornelcove.model.id.JobId;

/**
 * The place of a pending job in its queue: first submitted, first considered.
 *
 * @param submittedIndex the log index of its submission
 * @param job the job
 */
public record PendingKey(long submittedIndex, JobId job) implements Comparable<PendingKey> {
    private static final Comparator<PendingKey> ORDER =
            Comparator.comparingLong(PendingKey::submittedIndex).thenComparing(PendingKey::job);

    @Override
    public int compareTo(PendingKey other) {
        return ORDER.compare(this, other);
    }
}
