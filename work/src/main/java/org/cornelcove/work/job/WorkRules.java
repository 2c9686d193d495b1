package org.cornelcove.work.job;

import java.util.List;
import java.util.Optional;

/**
 * The operator's rules for jobs, replaced as a whole.
 *
 * @param version rises with each change; 0 before the first
 * @param source the rules as the operator sent them
 * @param queues the queues
 * @param pools the pools
 */
public record WorkRules(long version, byte[] source, List<QueueRule> queues, List<PoolRule> pools) {
    /** Before the first change. */
    public static final WorkRules NONE = new WorkRules(0, new byte[0], List.of(), List.of());

    /**
     * Finds the queue of the host with the longest prefix that the path begins with.
     *
     * @param host the host name that the caller used
     * @param path the path that the caller used
     * @return the queue of the host with the longest prefix that the path begins with
     */
    public Optional<QueueRule> queueFor(String host, String path) {
        QueueRule best = null;
        for (QueueRule queue : queues) {
            boolean fits = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix());
            if (fits
                    && (best == null
                            || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Finds a queue by its exact place.
     *
     * @param host the host name that the caller used
     * @param pathPrefix the path prefix
     * @return a queue by its exact place
     */
    public Optional<QueueRule> queueAt(String host, String pathPrefix) {
        return queues.stream()
                .filter(q -> q.host().equalsIgnoreCase(host) && q.pathPrefix().equals(pathPrefix))
                .findFirst();
    }
}
