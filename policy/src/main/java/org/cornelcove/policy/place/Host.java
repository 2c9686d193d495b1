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

/** One host of the table: what it holds, what is free, and which kinds of work run on it. */
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
    /** The most attempts that it may run at once; below what fits while it is suspected. */
    private int maxAttempts = Integer.MAX_VALUE;
    /** False while it is silent or leaving. */
    private boolean takesWork = true;

    /** False while its services are at the crest. */
    private boolean openForBatch = true;

    /** The job for which this host is kept free; null for none. */
    private JobId heldFor;

    private LoadBand serviceLoad = LoadBand.LOW;

    /** Position in the list of its bucket, kept by {@link ZoneIndex}. */
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

    /** Returns the kinds of batch work here, each with the rate at which it runs. */
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

    /** Tells whether it takes work of some kind now. */
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

    /** Returns what work of the kind may take now: what is free, and for batch work what it may hold together. */
    Resources roomFor(JobKind kind, int reservePercent) {
        if (kind == JobKind.SERVICE) {
            return free;
        }
        long forBatch = batchLimitMillicores(reservePercent) - batchMillicores;
        return Resources.of(Math.min(free.cpuMillicores(), forBatch), free.memoryBytes(), free.accelerators());
    }

    /** Returns what batch work may hold together. Rounded down, as the state machine does that checks each start. */
    private long batchLimitMillicores(int reservePercent) {
        return capacity.cpuMillicores() * (PERCENT - reservePercent) / PERCENT;
    }

    /** Tells whether the job would fit if nothing ran here. */
    boolean fitsEmpty(JobSpec job, int reservePercent) {
        long most = job.kind() == JobKind.SERVICE ? capacity.cpuMillicores() : batchLimitMillicores(reservePercent);
        return job.resources().fitsIn(Resources.of(most, capacity.memoryBytes(), capacity.accelerators()));
    }

    /**
     * Tells whether the job may start here now. Batch work holds no more than the capacity less the reserve; unless it is
     * urgent, it leaves the reserve free of services' use too.
     */
    boolean admits(JobSpec job, int reservePercent) {
        if (!takesWork || attempts >= maxAttempts || !job.resources().fitsIn(roomFor(job.kind(), reservePercent))) {
            return false;
        }
        if (job.kind() == JobKind.SERVICE || job.urgent()) {
            return true;
        }
        boolean isMine = heldFor == null || heldFor.equals(job.id());
        long reserve = capacity.cpuMillicores() - batchLimitMillicores(reservePercent);
        return openForBatch && isMine && free.cpuMillicores() - job.resources().cpuMillicores() >= reserve;
    }

    /** Tells whether the job would fit beside the services alone. */
    boolean couldHold(JobSpec job, int reservePercent) {
        long reserve =
                job.kind() == JobKind.SERVICE ? 0 : capacity.cpuMillicores() - batchLimitMillicores(reservePercent);
        Resources room = capacity.minus(Resources.of(reserve, 0, 0)).minus(serviceHeld);
        return job.resources().fitsIn(room);
    }

    boolean isHeld() {
        return heldFor != null;
    }

    void holdFor(JobId job) {
        heldFor = job;
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
