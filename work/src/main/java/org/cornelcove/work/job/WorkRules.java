package org.cornelcove.work.job;

import java.util.List;
import java.util.Optional;

/**
 * The operator's rules for queues and pools, replaced as a whole.
 *
 * @param version increases with each change; 0 before the first
 * @param source the document that the operator sent, unchanged
 * @param queues the queues
 * @param pools the pools
 */
public record WorkRules(long version, byte[] source, List<QueueRule> queues, List<PoolRule> pools) {
    /** The rules before the first change: no queues and no pools. */
    public static final WorkRules NONE = new WorkRules(0, new byte[0], List.of(), List.of());

    /**
     * Finds the queue of a host whose path prefix is the longest match.
     *
     * @param host the host name that the caller used
     * @param path the path that the caller used
     * @return the queue, empty when no prefix matches
     */
    public Optional<QueueRule> queueFor(String host, String path) {
        QueueRule best = null;
        for (QueueRule queue : queues) {
            boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix());
            if (matches
                    && (best == null
                            || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Checks whether a pool exists.
     *
     * @param name the name of the pool
     * @return true if a rule of this name is among the pools
     */
    public boolean definesPool(String name) {
        return pools.stream().anyMatch(pool -> pool.name().equals(name));
    }

    /**
     * Finds the queue with exactly this host and path prefix.
     *
     * @param host the host name, in any case
     * @param pathPrefix the path prefix
     * @return the queue, empty when there is none
     */
    public Optional<QueueRule> queueAt(String host, String pathPrefix) {
        return queues.stream()
                .filter(q -> q.host().equalsIgnoreCase(host) && q.pathPrefix().equals(pathPrefix))
                .findFirst();
    }
}
