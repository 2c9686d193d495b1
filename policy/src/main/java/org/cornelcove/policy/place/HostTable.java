package org.cornelcove.policy.place;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.policy.learn.InterferenceModel;
import org.cornelcove.policy.learn.LoadBand;
import org.cornelcove.policy.learn.PairEstimate;

/**
 * The hosts with their free resources, and the selection of a host for a job.
 *
 * <p>The leader keeps this table in memory as a copy of the replicated state. Only the replicated state machine decides
 * whether an attempt fits, so a stale table can cause a refused command but never an overcommitted host.
 *
 * <p>Selection: first the availability zone, then up to {@code MAX_CANDIDATES} hosts from its index, then the candidate
 * with the lowest cost. Services prefer the zone, then the rack, then the host that runs the fewest instances of the
 * same service, and emptier hosts. Batch work prefers fuller hosts, so that large tasks still find room; the slowdown that
 * the {@link InterferenceModel} estimates for the services on a host adds to its cost. A pair without an estimate is
 * tried only while the services are below high load; at high load only pairs known to be harmless are placed. Hosts with
 * accelerators are the last choice for jobs that need none. Hosts on probation accept ordinary batch work; services and
 * urgent jobs are placed there only if no other host fits.
 *
 * <p>Not thread-safe.
 */
public final class HostTable {
    private static final int MAX_CANDIDATES = 24;
    private static final double HARMLESS_ADDED = 0.15;
    private static final double HARMFUL_ADDED = 0.4;
    private static final double UNKNOWN_COST = 0.1;
    private static final int PERCENT = 100;

    private final Map<HostId, Host> hosts = new HashMap<>();
    private final Map<String, ZoneIndex> zones = new TreeMap<>();
    private final Map<String, Integer> servicesByPlace = new HashMap<>();
    private final InterferenceModel interference;
    private int reservePercent;
    /** CPU of the smallest host ever added: a lower bound for the reserve of any host. */
    private long smallestMillicores = Long.MAX_VALUE / 1000;

    private int zoneRotation;

    private HostTable(InterferenceModel interference, int reservePercent) {
        this.interference = interference;
        this.reservePercent = reservePercent;
    }

    /**
     * Returns an empty table.
     *
     * @param interference the estimated slowdown of services by batch work
     * @param reservePercent the percentage of each host's CPU that batch work must not use, 0 to 100
     * @return the table
     */
    public static HostTable of(InterferenceModel interference, int reservePercent) {
        return new HostTable(interference, reservePercent);
    }

    /**
     * Changes the reserve when a new configuration takes effect.
     *
     * @param percent the percentage of each host's CPU that batch work must not use, 0 to 100
     */
    public void setReservePercent(int percent) {
        reservePercent = percent;
    }

    /**
     * Adds a host that runs nothing yet.
     *
     * @param id the host
     * @param availabilityZone the host's availability zone
     * @param rack the host's rack
     * @param capacity the host's total resources
     */
    public void add(HostId id, String availabilityZone, String rack, Resources capacity) {
        remove(id);
        Host host = new Host(id, availabilityZone, rack, capacity);
        hosts.put(id, host);
        smallestMillicores = Math.min(smallestMillicores, capacity.cpuMillicores());
        zones.computeIfAbsent(availabilityZone, z -> new ZoneIndex()).add(host);
    }

    /**
     * Removes a host and its attempts; does nothing for an unknown host.
     *
     * @param id the host
     */
    public void remove(HostId id) {
        Host host = hosts.remove(id);
        if (host == null) {
            return;
        }
        zones.get(host.availabilityZone()).remove(host);
        for (String service : host.services()) {
            countService(host, service, -host.countOf(service));
        }
    }

    /**
     * Allocates the job's resources on the host; does nothing for an unknown host.
     *
     * @param id the host
     * @param job the job
     */
    public void take(HostId id, JobSpec job) {
        Host host = hosts.get(id);
        if (host == null) {
            return;
        }
        host.take(job);
        zones.get(host.availabilityZone()).update(host);
        if (job.kind() == JobKind.SERVICE) {
            countService(host, job.task(), 1);
        }
    }

    /**
     * Releases the job's resources on the host when its attempt has ended; does nothing for an unknown host.
     *
     * @param id the host
     * @param job the job
     */
    public void release(HostId id, JobSpec job) {
        Host host = hosts.get(id);
        if (host == null) {
            return;
        }
        host.release(job);
        zones.get(host.availabilityZone()).update(host);
        if (job.kind() == JobKind.SERVICE) {
            countService(host, job.task(), -1);
        }
    }

    /**
     * Limits the concurrent attempts on a host, see {@code WorkerHealth#maxAttempts}.
     *
     * @param id the host
     * @param most the limit: 0 in quarantine, 1 on probation, {@code Integer.MAX_VALUE} for none
     */
    public void limitAttempts(HostId id, int most) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.limitAttempts(most));
    }

    /**
     * Sets whether a host accepts any work; it does not while it is silent or leaving.
     *
     * @param id the host
     * @param takesWork whether the host accepts work
     */
    public void setTakesWork(HostId id, boolean takesWork) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.setTakesWork(takesWork));
    }

    /**
     * Sets whether a host accepts batch work that is not urgent.
     *
     * @param id the host
     * @param open whether the host accepts such work
     */
    public void setOpenForBatch(HostId id, boolean open) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.setOpenForBatch(open));
    }

    /**
     * Sets the load of a host's services.
     *
     * @param id the host
     * @param band the load band of the services
     */
    public void setServiceLoad(HostId id, LoadBand band) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.setServiceLoad(band));
    }

    /**
     * Returns the kinds of batch work on a host.
     *
     * @param id the host
     * @return the share of full speed at which each kind runs, 0 to 1, by kind; empty for an unknown host
     */
    public Map<String, Double> batchRates(HostId id) {
        Host host = hosts.get(id);
        return host == null ? Map.of() : host.batchRates();
    }

    /**
     * Records that an attempt was throttled or runs at full rate again.
     *
     * @param id the host
     * @param job the job
     * @param throttled whether it runs at a reduced rate
     */
    public void setThrottled(HostId id, JobSpec job, boolean throttled) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.countThrottled(job.task(), throttled ? 1 : -1));
    }

    /**
     * Returns the known slowdown that a kind of batch work causes for the services of a host at their current load.
     *
     * @param id the host
     * @param task the kind of batch work
     * @return the largest relative increase of a service's run time; 0 if none is known
     */
    public double disturbance(HostId id, String task) {
        Host host = hosts.get(id);
        if (host == null) {
            return 0;
        }
        return host.services().stream()
                .map(service -> interference.estimate(service, task, host.serviceLoad()))
                .filter(PairEstimate::isKnown)
                .mapToDouble(PairEstimate::added)
                .max()
                .orElse(0);
    }

    /**
     * Returns the free resources of a host.
     *
     * @param id the host
     * @return the free resources; {@link Resources#NONE} for an unknown host
     */
    public Resources free(HostId id) {
        Host host = hosts.get(id);
        return host == null ? Resources.NONE : host.free();
    }

    /**
     * Returns the resources that a job could allocate on a host now.
     *
     * @param id the host
     * @param job the job
     * @return the resources available to its kind of work; {@link Resources#NONE} for an unknown host
     */
    public Resources roomFor(HostId id, JobSpec job) {
        Host host = hosts.get(id);
        return host == null ? Resources.NONE : host.roomFor(job.kind(), reservePercent);
    }

    /**
     * Returns the hosts whose allocations exceed their capacity because they reported a smaller capacity.
     *
     * @return the hosts, sorted by id; empty if there are none
     */
    public Set<HostId> overfull() {
        return hosts.values().stream()
                .filter(host -> host.free().isNegative())
                .map(Host::id)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Returns the number of hosts.
     *
     * @return the count, including hosts that accept no work
     */
    public int size() {
        return hosts.size();
    }

    /**
     * Checks whether the job would fit at least one host if that host were empty.
     *
     * @param job the job
     * @return true if such a host exists
     */
    public boolean fitsAnyHost(JobSpec job) {
        return hosts.values().stream().anyMatch(h -> h.fitsEmpty(job, reservePercent));
    }

    /**
     * Checks whether the job would fit, if it were empty, a host that accepts work and is not excluded.
     *
     * @param job the job
     * @param excluded the excluded hosts
     * @return true if such a host exists
     */
    public boolean fitsOpenHostExcept(JobSpec job, Set<HostId> excluded) {
        return hosts.values().stream()
                .anyMatch(h -> h.isOpen() && !excluded.contains(h.id()) && h.fitsEmpty(job, reservePercent));
    }

    /**
     * Checks whether a host accepts work and is not reserved, so that attempts may be evicted on it to make room.
     *
     * @param id the host
     * @return false also for an unknown host
     */
    public boolean mayEvictOn(HostId id) {
        Host host = hosts.get(id);
        return host != null && host.isOpen() && !host.isReserved();
    }

    /**
     * Reserves a host for a job: other ordinary batch work is not placed on it.
     *
     * @param id the host
     * @param job the job that the host is reserved for
     */
    public void reserveFor(HostId id, JobId job) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.reserveFor(job));
    }

    /**
     * Reserves the emptiest host that could hold the job: other ordinary batch work is not placed on it.
     *
     * @param job the job
     * @return the host; empty if no host could hold the job beside its services, or all such hosts are reserved
     */
    public Optional<HostId> reserveHost(JobSpec job) {
        Optional<Host> emptiest = hosts.values().stream()
                .filter(h -> h.isOpen() && h.isTrusted() && !h.isReserved() && h.couldHold(job, reservePercent))
                .max(Comparator.comparingLong((Host h) -> h.free().cpuMillicores())
                        .thenComparing(Host::id));
        emptiest.ifPresent(h -> h.reserveFor(job.id()));
        return emptiest.map(Host::id);
    }

    /**
     * Removes the reservation of a host, if it has one.
     *
     * @param id the host
     */
    public void cancelReservation(HostId id) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.reserveFor(null));
    }

    /**
     * Chooses a host without allocating resources on it.
     *
     * @param job the job
     * @param avoid the hosts on which the job must not be placed because it failed there
     * @return the host; empty if no host can accept the job now
     */
    public Optional<HostId> choose(JobSpec job, Set<HostId> avoid) {
        Predicate<Host> admits = h -> h.admits(job, reservePercent) && !avoid.contains(h.id()) && isHarmless(h, job);
        boolean mayProbe = job.kind() == JobKind.BATCH && !job.urgent();
        List<Host> candidates = collect(job, admits.and(h -> mayProbe || h.isTrusted()));
        if (candidates.isEmpty() && !mayProbe) {
            candidates = collect(job, admits);
        }
        return candidates.stream()
                .min(Comparator.comparingDouble((Host h) -> cost(h, job)).thenComparing(Host::id))
                .map(Host::id);
    }

    /**
     * Checks whether a host has room for the job, without regard to interference with its services.
     *
     * @param job the job
     * @return true if at least one host has room
     */
    public boolean hasRoom(JobSpec job) {
        return !collect(job, h -> h.admits(job, reservePercent)).isEmpty();
    }

    private List<Host> collect(JobSpec job, Predicate<Host> admits) {
        List<Host> candidates = new ArrayList<>(MAX_CANDIDATES);
        boolean accelerators = job.resources().accelerators() > 0;
        List<String> order = zoneOrder(job);
        for (int i = 0; i < order.size() && candidates.isEmpty(); i++) {
            zones.get(order.get(i)).collect(search(job, accelerators), admits, candidates, MAX_CANDIDATES);
        }
        for (int i = 0; i < order.size() && candidates.isEmpty() && !accelerators; i++) {
            zones.get(order.get(i)).collect(search(job, true), admits, candidates, MAX_CANDIDATES);
        }
        return candidates;
    }

    private ZoneIndex.Search search(JobSpec job, boolean accelerators) {
        boolean isService = job.kind() == JobKind.SERVICE;
        long reserve = isService || job.urgent() ? 0 : smallestMillicores * reservePercent / PERCENT;
        return new ZoneIndex.Search(job.resources().cpuMillicores() + reserve, accelerators, isService);
    }

    /** Returns the zones in search order: fewest instances of the same service first; round robin for batch work. */
    private List<String> zoneOrder(JobSpec job) {
        List<String> order = new ArrayList<>(zones.keySet());
        if (job.kind() == JobKind.SERVICE) {
            order.sort(Comparator.comparingInt(zone -> servicesIn(zone, job.task())));
            return order;
        }
        zoneRotation = (zoneRotation + 1) % Math.max(1, order.size());
        Collections.rotate(order, zoneRotation);
        return order;
    }

    private boolean isHarmless(Host host, JobSpec job) {
        if (job.kind() == JobKind.SERVICE || job.urgent()) {
            return true;
        }
        LoadBand band = host.serviceLoad();
        for (String service : host.services()) {
            PairEstimate pair = interference.worst(service, job.task(), band);
            if (band == LoadBand.HIGH && (!pair.isKnown() || pair.added() > HARMLESS_ADDED)) {
                return false;
            }
            if (pair.isKnown() && pair.added() > HARMFUL_ADDED) {
                return false;
            }
        }
        return true;
    }

    private double cost(Host host, JobSpec job) {
        double cost = 0;
        double left = (double) (host.free().cpuMillicores() - job.resources().cpuMillicores())
                / Math.max(1, host.capacity().cpuMillicores());
        if (job.kind() == JobKind.SERVICE) {
            return cost + servicesIn(host.rack(), job.task()) + 2 * host.countOf(job.task()) + (1 - left);
        }
        for (String service : host.services()) {
            PairEstimate pair = interference.worst(service, job.task(), host.serviceLoad());
            cost += pair.isKnown() ? pair.added() : UNKNOWN_COST;
        }
        return cost + left;
    }

    private int servicesIn(String place, String service) {
        return servicesByPlace.getOrDefault(place + ' ' + service, 0);
    }

    private void countService(Host host, String service, int difference) {
        for (String place : List.of(host.availabilityZone(), host.rack())) {
            servicesByPlace.merge(place + ' ' + service, difference, (a, b) -> a + b == 0 ? null : a + b);
        }
    }
}
