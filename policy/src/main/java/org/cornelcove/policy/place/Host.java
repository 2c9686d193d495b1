package org.cornelcove.policy.place;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.policy.learn.LoadBand;

/** A host of the table: its capacity, its free resources and the kinds of work that run on it. */
final class Host {
    private static final double THROTTLED_RATE = 0.25;
    private static final int PERCENT = 100;

    private final HostId id;
    private final String availabilityZone;
    private final String rack;
    private final Resources capacity;
    private final Map<String, Integer> services = new HashMap<>();
    private final Map<String, Integer> batch = new HashMap<>();
    private final Map<String, Integer> throttled = new HashMap<>();
    private Resources free;
    private Resources serviceHeld = Resources.NONE;
    private long batchMillicores;
    private int attempts;
    /** Maximum number of concurrent attempts; limited by the host's health, see {@code WorkerHealth}. */
    private int maxAttempts = Integer.MAX_VALUE;
    /** False while the host is silent or leaving. */
    private boolean takesWork = true;

    /** False while batch work must yield to the host's services. */
    private boolean openForBatch = true;

    /** The job for which this host is reserved; null if it is not reserved. */
    private JobId reservedFor;

    private LoadBand serviceLoad = LoadBand.LOW;

    /** Index in the list of its bucket, maintained by {@link ZoneIndex}. */
    private int position;

    private int bucket;

    Host(HostId id, String availabilityZone, String rack, Resources capacity) {
        this.id = id;
        this.availabilityZone = availabilityZone;
        this.rack = rack;
        this.capacity = capacity;
        this.free = capacity;
    }

    HostId id() {
        return id;
    }

    String availabilityZone() {
        return availabilityZone;
    }

    String rack() {
        return rack;
    }

    Resources capacity() {
        return capacity;
    }

    Resources free() {
        return free;
    }

    int attempts() {
        return attempts;
    }

    LoadBand serviceLoad() {
        return serviceLoad;
    }

    Set<String> services() {
        return services.keySet();
    }

    /** Returns the rate at which each kind of batch work on this host runs, as a share of full speed. */
    Map<String, Double> batchRates() {
        Map<String, Double> rates = new HashMap<>();
        batch.forEach((task, count) -> {
            boolean allThrottled = throttled.getOrDefault(task, 0) >= count;
            rates.put(task, allThrottled ? THROTTLED_RATE : 1);
        });
        return rates;
    }

    void countThrottled(String task, int difference) {
        throttled.merge(task, difference, (a, b) -> a + b == 0 ? null : a + b);
    }

    int countOf(String service) {
        return services.getOrDefault(service, 0);
    }

    int position() {
        return position;
    }

    int bucket() {
        return bucket;
    }

    void moveTo(int newBucket, int newPosition) {
        bucket = newBucket;
        position = newPosition;
    }

    void limitAttempts(int most) {
        maxAttempts = most;
    }

    void setTakesWork(boolean takes) {
        takesWork = takes;
    }

    /** Checks whether the host accepts any work now. */
    boolean isOpen() {
        return takesWork && maxAttempts > 0;
    }

    boolean isTrusted() {
        return maxAttempts == Integer.MAX_VALUE;
    }

    void setOpenForBatch(boolean open) {
        openForBatch = open;
    }

    void setServiceLoad(LoadBand band) {
        serviceLoad = band;
    }

    /** Returns the resources available to this kind of work now; batch work is also bounded by its CPU limit. */
    Resources roomFor(JobKind kind, int reservePercent) {
        if (kind == JobKind.SERVICE) {
            return free;
        }
        long forBatch = batchLimitMillicores(reservePercent) - batchMillicores;
        return Resources.of(Math.min(free.cpuMillicores(), forBatch), free.memoryBytes(), free.accelerators());
    }

    /** Returns the CPU limit of all batch work together, rounded down like the state machine's check of each start. */
    private long batchLimitMillicores(int reservePercent) {
        return capacity.cpuMillicores() * (PERCENT - reservePercent) / PERCENT;
    }

    /** Checks whether the job would fit if the host were empty. */
    boolean fitsEmpty(JobSpec job, int reservePercent) {
        long most = job.kind() == JobKind.SERVICE ? capacity.cpuMillicores() : batchLimitMillicores(reservePercent);
        return job.resources().fitsIn(Resources.of(most, capacity.memoryBytes(), capacity.accelerators()));
    }

    /**
     * Checks whether the job may start here now. All batch work together holds at most the capacity minus the reserve.
     * Ordinary batch work must also leave the reserve free beyond the resources that services already hold; urgent batch
     * work need not.
     */
    boolean admits(JobSpec job, int reservePercent) {
        if (!takesWork || attempts >= maxAttempts || !job.resources().fitsIn(roomFor(job.kind(), reservePercent))) {
            return false;
        }
        if (job.kind() == JobKind.SERVICE || job.urgent()) {
            return true;
        }
        boolean mayUseHost = reservedFor == null || reservedFor.equals(job.id());
        long reserve = capacity.cpuMillicores() - batchLimitMillicores(reservePercent);
        return openForBatch
                && mayUseHost
                && free.cpuMillicores() - job.resources().cpuMillicores() >= reserve;
    }

    /** Checks whether the job would fit if only the services ran here. */
    boolean couldHold(JobSpec job, int reservePercent) {
        long reserve =
                job.kind() == JobKind.SERVICE ? 0 : capacity.cpuMillicores() - batchLimitMillicores(reservePercent);
        Resources room = capacity.minus(Resources.of(reserve, 0, 0)).minus(serviceHeld);
        return job.resources().fitsIn(room);
    }

    boolean isReserved() {
        return reservedFor != null;
    }

    void reserveFor(JobId job) {
        reservedFor = job;
    }

    void take(JobSpec job) {
        free = free.minus(job.resources());
        serviceHeld = job.kind() == JobKind.SERVICE ? serviceHeld.plus(job.resources()) : serviceHeld;
        batchMillicores += job.kind() == JobKind.BATCH ? job.resources().cpuMillicores() : 0;
        attempts++;
        kindsOf(job).merge(job.task(), 1, Integer::sum);
    }

    void release(JobSpec job) {
        free = free.plus(job.resources());
        serviceHeld = job.kind() == JobKind.SERVICE ? serviceHeld.minus(job.resources()) : serviceHeld;
        batchMillicores -= job.kind() == JobKind.BATCH ? job.resources().cpuMillicores() : 0;
        attempts--;
        kindsOf(job).computeIfPresent(job.task(), (t, n) -> n == 1 ? null : n - 1);
    }

    private Map<String, Integer> kindsOf(JobSpec job) {
        return job.kind() == JobKind.SERVICE ? services : batch;
    }
}
