package org.cornelcove.policy.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * The waiting short requests or the waiting long requests, scheduled fairly between tenants.
 *
 * <p>Start-time fair queueing: each tenant has a virtual time that advances by the expected run time of each request it
 * starts, divided by its weight; the tenant with the lowest virtual time goes next. A tenant that was idle resumes at
 * the lane's virtual time, so that it accumulates no credit while idle. Within a tenant the request with the earliest
 * latest useful start goes first. When a run ends, the tenant's charge is corrected to the actual run time.
 *
 * @param <T> type of the caller's payload
 */
final class FairLane<T> {
    private static final int MAX_IDLE = 4096;

    private final ToIntFunction<String> weights;
    private final Map<String, Tenant<T>> waiting = new HashMap<>();
    /** Virtual times of tenants without queued requests; cleared when the lane empties or the map is full. */
    private final Map<String, Double> idle = new HashMap<>();

    private double virtualUs;
    private long queuedUs;
    private int size;
    private int totalWeight;

    FairLane(ToIntFunction<String> weights) {
        this.weights = weights;
    }

    int size() {
        return size;
    }

    int sizeOf(String tenant) {
        Tenant<T> found = waiting.get(tenant);
        return found == null ? 0 : found.queue.size();
    }

    long queuedUs() {
        return queuedUs;
    }

    /** Returns the expected run time of the tenant's requests whose latest useful start is not after the given one. */
    long aheadUs(String tenant, long latestStartUs) {
        Tenant<T> found = waiting.get(tenant);
        if (found == null) {
            return 0;
        }
        if (found.queue.last().latestStartUs() <= latestStartUs) {
            return found.queuedUs;
        }
        long sumUs = 0;
        for (QueuedRequest<T> request : found.queue) {
            if (request.latestStartUs() > latestStartUs) {
                break;
            }
            sumUs += request.expectedUs();
        }
        return sumUs;
    }

    /** Returns the tenant's weight as a share of the weights of all waiting tenants and itself, above 0 up to 1. */
    double shareOf(String tenant) {
        int weight = weights.applyAsInt(tenant);
        int total = waiting.containsKey(tenant) ? totalWeight : totalWeight + weight;
        return (double) weight / total;
    }

    void add(QueuedRequest<T> request) {
        Tenant<T> tenant = waiting.computeIfAbsent(request.tenant(), this::activate);
        tenant.queue.add(request);
        tenant.queuedUs += request.expectedUs();
        queuedUs += request.expectedUs();
        size++;
    }

    /** Returns the next request without removing it. */
    Optional<QueuedRequest<T>> peek() {
        return lowest().map(tenant -> tenant.queue.first());
    }

    /** Removes the next request and charges its tenant. */
    Optional<QueuedRequest<T>> poll() {
        Optional<Tenant<T>> next = lowest();
        if (next.isEmpty()) {
            return Optional.empty();
        }
        Tenant<T> tenant = next.get();
        virtualUs = Math.max(virtualUs, tenant.virtualUs);
        QueuedRequest<T> request = tenant.queue.first();
        tenant.virtualUs += (double) request.expectedUs() / tenant.weight;
        remove(tenant, request);
        return Optional.of(request);
    }

    /** Removes a request whose latest useful start has passed, if there is one. */
    Optional<QueuedRequest<T>> pollExpired(long nowUs) {
        for (Tenant<T> tenant : waiting.values()) {
            QueuedRequest<T> first = tenant.queue.first();
            if (first.latestStartUs() < nowUs) {
                remove(tenant, first);
                return Optional.of(first);
            }
        }
        return Optional.empty();
    }

    /** Removes the last request of the tenant with the most queued requests per weight, if above the given value. */
    Optional<QueuedRequest<T>> displaceAbove(double perWeight) {
        Optional<Tenant<T>> most = waiting.values().stream()
                .max(Comparator.comparingDouble((Tenant<T> t) -> t.perWeight()).thenComparing(t -> t.name));
        if (most.isEmpty() || most.get().perWeight() <= perWeight) {
            return Optional.empty();
        }
        QueuedRequest<T> last = most.get().queue.last();
        remove(most.get(), last);
        return Optional.of(last);
    }

    boolean remove(QueuedRequest<T> request) {
        Tenant<T> tenant = waiting.get(request.tenant());
        if (tenant == null || !tenant.queue.contains(request)) {
            return false;
        }
        remove(tenant, request);
        return true;
    }

    /** Corrects the charge for a run by the difference between its actual and its expected run time. */
    void adjustCharge(String tenant, long differenceUs) {
        Tenant<T> found = waiting.get(tenant);
        if (found != null) {
            found.virtualUs += (double) differenceUs / found.weight;
            return;
        }
        idle.computeIfPresent(tenant, (t, v) -> v + (double) differenceUs / weights.applyAsInt(t));
    }

    private Tenant<T> activate(String name) {
        Double last = idle.remove(name);
        int weight = weights.applyAsInt(name);
        totalWeight += weight;
        return new Tenant<>(name, weight, last == null ? virtualUs : Math.max(virtualUs, last));
    }

    private void remove(Tenant<T> tenant, QueuedRequest<T> request) {
        tenant.queue.remove(request);
        tenant.queuedUs -= request.expectedUs();
        queuedUs -= request.expectedUs();
        size--;
        if (tenant.queue.isEmpty()) {
            waiting.remove(tenant.name);
            totalWeight -= tenant.weight;
            deactivate(tenant);
        }
    }

    /**
     * Stores the virtual time of a tenant without queued requests; resets all idle tenants if the lane is empty or the map
     * is full.
     */
    private void deactivate(Tenant<T> tenant) {
        if (size == 0 || idle.size() >= MAX_IDLE) {
            virtualUs = Math.max(virtualUs, tenant.virtualUs);
            idle.clear();
            return;
        }
        idle.put(tenant.name, tenant.virtualUs);
    }

    private Optional<Tenant<T>> lowest() {
        Tenant<T> best = null;
        for (Tenant<T> tenant : waiting.values()) {
            if (best == null || tenant.isBefore(best)) {
                best = tenant;
            }
        }
        return Optional.ofNullable(best);
    }

    private static final class Tenant<T> {
        private final String name;
        private final int weight;
        private final TreeSet<QueuedRequest<T>> queue =
                new TreeSet<>(Comparator.comparingLong((QueuedRequest<T> w) -> w.latestStartUs())
                        .thenComparingLong(w -> w.sequence()));
        private double virtualUs;
        private long queuedUs;

        Tenant(String name, int weight, double virtualUs) {
            this.name = name;
            this.weight = weight;
            this.virtualUs = virtualUs;
        }

        boolean isBefore(Tenant<T> other) {
            int order = Double.compare(virtualUs, other.virtualUs);
            return order < 0 || order == 0 && name.compareTo(other.name) < 0;
        }

        double perWeight() {
            return (double) queue.size() / weight;
        }
    }
}
