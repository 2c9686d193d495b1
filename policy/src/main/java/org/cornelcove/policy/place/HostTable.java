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
 * The hosts with what is free on each, and the choice of a host for a job.
 *
 * <p>A table in the leader's memory that mirrors the replicated state, which alone decides whether an attempt fits; a
 * stale table costs a refused command, never an overfull host.
 *
 * <p>Choice: first the availability zone, then up to {@code MAX_CANDIDATES} hosts out of its index, then the one with
 * the lowest cost. Services go to the zone, then the rack, then the host that run fewest of the same service, and to
 * emptier hosts. Batch work goes to fuller hosts, so that large tasks keep finding room, weighed against what the
 * {@link InterferenceModel} says of it beside the services there. A pair that is not known is tried only off the crest;
 * at the crest only pairs known to be harmless are placed. Hosts with accelerators take other work last. Hosts on
 * probation are tried with ordinary batch work; services and urgent work go there only where no other host fits.
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
    /** Processors of the smallest host ever added, a lower bound for what the reserve takes. */
    private long smallestMillicores = Long.MAX_VALUE / 1000;

    private int turn;

    private HostTable(InterferenceModel interference, int reservePercent) {
        this.interference = interference;
        this.reservePercent = reservePercent;
    }

    /**
     * Returns an empty table.
     *
     * @param interference what is known of pairs that disturb each other
     * @param reservePercent the share of each host's processor that batch work leaves free
     * @return the table
     */
    public static HostTable of(InterferenceModel interference, int reservePercent) {
        return new HostTable(interference, reservePercent);
    }

    /**
     * Changes the reserve, for a new configuration.
     *
     * @param percent the share of each host's processor that batch work leaves free
     */
    public void setReservePercent(int percent) {
        reservePercent = percent;
    }

    /**
     * Adds a host that runs nothing yet.
     *
     * @param id the host
     * @param availabilityZone where it stands
     * @param rack its rack
     * @param capacity what it holds
     */
    public void add(HostId id, String availabilityZone, String rack, Resources capacity) {
        remove(id);
        Host host = new Host(id, availabilityZone, rack, capacity);
        hosts.put(id, host);
        smallestMillicores = Math.min(smallestMillicores, capacity.cpuMillicores());
        zones.computeIfAbsent(availabilityZone, z -> new ZoneIndex()).add(host);
    }

    /**
     * Forgets a host and all that ran on it.
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
     * Notes that an attempt of the job holds its resources on the host.
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
     * Notes that the attempt is over.
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
     * Bounds the attempts on a host: 0 while it is in quarantine or leaving, 1 on probation.
     *
     * @param id the host
     * @param most the bound; {@code Integer.MAX_VALUE} for none
     */
    public void limitAttempts(HostId id, int most) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.limitAttempts(most));
    }

    /**
     * Opens or closes a host for all work: closed while it is silent or leaving.
     *
     * @param id the host
     * @param takesWork whether it takes some
     */
    public void setTakesWork(HostId id, boolean takesWork) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.setTakesWork(takesWork));
    }

    /**
     * Opens or closes a host for batch work that is not urgent.
     *
     * @param id the host
     * @param open whether it takes some
     */
    public void setOpenForBatch(HostId id, boolean open) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.setOpenForBatch(open));
    }

    /**
     * Notes how busy a host's services are.
     *
     * @param id the host
     * @param band the load
     */
    public void setServiceLoad(HostId id, LoadBand band) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.setServiceLoad(band));
    }

    /**
     * Returns the kinds of batch work on a host.
     *
     * @param id the host
     * @return the kinds, each with the rate at which it runs
     */
    public Map<String, Double> batchRates(HostId id) {
        Host host = hosts.get(id);
        return host == null ? Map.of() : host.batchRates();
    }

    /**
     * Notes that an attempt was throttled, or runs at full rate again.
     *
     * @param id the host
     * @param job the job
     * @param throttled whether it runs at a reduced rate
     */
    public void setThrottled(HostId id, JobSpec job, boolean throttled) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.countThrottled(job.task(), throttled ? 1 : -1));
    }

    /**
     * Returns how much a kind of batch work is known to disturb the services of a host at their load now.
     *
     * @param id the host
     * @param task the kind of batch work
     * @return the share added to the run time of the service that suffers most
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
     * Returns what is free on a host.
     *
     * @param id the host
     * @return what is free, nothing for an unknown host
     */
    public Resources free(HostId id) {
        Host host = hosts.get(id);
        return host == null ? Resources.NONE : host.free();
    }

    /**
     * Returns what a job could take on a host now.
     *
     * @param id the host
     * @param job the job
     * @return what is free for its kind of work, nothing for an unknown host
     */
    public Resources roomFor(HostId id, JobSpec job) {
        Host host = hosts.get(id);
        return host == null ? Resources.NONE : host.roomFor(job.kind(), reservePercent);
    }

    /**
     * Returns the hosts on which more is held than their capacity, since they told of a smaller one.
     *
     * @return the hosts
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
     * @return the number
     */
    public int size() {
        return hosts.size();
    }

    /**
     * Tells whether the job would fit some host if it were empty.
     *
     * @param job the job
     * @return whether one exists
     */
    public boolean fitsAnyHost(JobSpec job) {
        return hosts.values().stream().anyMatch(h -> h.fitsEmpty(job, reservePercent));
    }

    /**
     * Tells whether the job would fit, if it were empty, some host that takes work and is none of the given ones.
     *
     * @param job the job
     * @param others the hosts that don't count
     * @return whether one exists
     */
    public boolean fitsOpenHostBut(JobSpec job, Set<HostId> others) {
        return hosts.values().stream()
                .anyMatch(h -> h.isOpen() && !others.contains(h.id()) && h.fitsEmpty(job, reservePercent));
    }

    /**
     * Tells whether a host is open and not kept free, so that room can be made on it.
     *
     * @param id the host
     * @return whether it is
     */
    public boolean mayGiveRoom(HostId id) {
        Host host = hosts.get(id);
        return host != null && host.isOpen() && !host.isHeld();
    }

    /**
     * Keeps a host free of other ordinary batch work.
     *
     * @param id the host
     * @param job the job for which it is kept
     */
    public void keepFor(HostId id, JobId job) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.holdFor(job));
    }

    /**
     * Keeps the emptiest host that could hold the job free of other ordinary batch work.
     *
     * @param job the job
     * @return the host; empty when none could ever hold it, or all such hosts are kept for others
     */
    public Optional<HostId> hold(JobSpec job) {
        Optional<Host> emptiest = hosts.values().stream()
                .filter(h -> h.isOpen() && h.isTrusted() && !h.isHeld() && h.couldHold(job, reservePercent))
                .max(Comparator.comparingLong((Host h) -> h.free().cpuMillicores())
                        .thenComparing(Host::id));
        emptiest.ifPresent(h -> h.holdFor(job.id()));
        return emptiest.map(Host::id);
    }

    /**
     * Opens a host again that was kept free.
     *
     * @param id the host
     */
    public void unhold(HostId id) {
        Optional.ofNullable(hosts.get(id)).ifPresent(h -> h.holdFor(null));
    }

    /**
     * Chooses a host; nothing is taken yet.
     *
     * @param job the job
     * @param avoid hosts that it failed on
     * @return the host; empty when it fits on none now
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
     * Tells whether some host has room for the job, whatever runs beside it.
     *
     * @param job the job
     * @return whether one has
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

    /** Zones in the order in which they are looked at: fewest of the same service first, in turn for batch work. */
    private List<String> zoneOrder(JobSpec job) {
        List<String> order = new ArrayList<>(zones.keySet());
        if (job.kind() == JobKind.SERVICE) {
            order.sort(Comparator.comparingInt(zone -> servicesIn(zone, job.task())));
            return order;
        }
        turn = (turn + 1) % Math.max(1, order.size());
        Collections.rotate(order, turn);
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
