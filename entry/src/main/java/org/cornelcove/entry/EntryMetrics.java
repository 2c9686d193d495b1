package org.cornelcove.entry;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.request.RequestClass;

/**
 * Histograms of latency, queueing and run time by tenant and by class, and a counter for each kind of decision. Beyond
 * a maximum number of tenants, further ones are counted together as {@code other}, so that callers cannot create an
 * unbounded number of metrics. Uses histograms instead of Dropwizard's timers, whose rates are not needed.
 */
final class EntryMetrics {
    static final String OTHER = "other";
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int MAX_TENANTS = 256;

    private final MetricRegistry registry = new MetricRegistry();
    /** The buckets of each histogram, which the registry does not expose; written once for each name. */
    private final ConcurrentMap<String, HdrReservoir> reservoirs = new ConcurrentHashMap<>();

    private final Group[] byClass = new Group[RequestClass.values().length];
    private final ConcurrentMap<String, Group> byTenant = new ConcurrentHashMap<>();
    private final Counter[] refused = new Counter[ErrorKind.values().length];
    final Counter admitted = registry.counter("requests.admitted");
    final Counter retried = registry.counter("requests.retried");
    final Counter forwarded = registry.counter("requests.forwarded");
    final Counter fenced = registry.counter("requests.fenced");
    final Counter ejected = registry.counter("targets.ejected");
    final Counter unknown = registry.counter("requests.unknown");

    private record Group(Histogram latency, Histogram queueing, Histogram running) {}

    EntryMetrics() {
        for (RequestClass one : RequestClass.values()) {
            byClass[one.ordinal()] = group("class." + one.name().toLowerCase(Locale.ROOT));
        }
        for (ErrorKind kind : ErrorKind.values()) {
            refused[kind.ordinal()] = new Counter();
        }
    }

    MetricRegistry registry() {
        return registry;
    }

    private Group group(String name) {
        return new Group(
                histogram(name + ".latencyUs"), histogram(name + ".queueingUs"), histogram(name + ".runningUs"));
    }

    private Histogram histogram(String name) {
        HdrReservoir reservoir = new HdrReservoir();
        reservoirs.put(name, reservoir);
        return registry.histogram(name, () -> new Histogram(reservoir));
    }

    /** Returns the histograms with all buckets. */
    List<RecordedHistogram> histograms() {
        return reservoirs.entrySet().stream()
                .map(one -> new RecordedHistogram(one.getKey(), one.getValue().compressed()))
                .toList();
    }

    private Group tenant(String name) {
        Group group = byTenant.get(name);
        if (group != null) {
            return group;
        }
        String kept = byTenant.size() < MAX_TENANTS ? name : OTHER;
        return byTenant.computeIfAbsent(kept, one -> group("tenant." + one));
    }

    void latency(String tenant, RequestClass requestClass, long ns) {
        tenant(tenant).latency.update(ns / NANOS_PER_MICRO);
        byClass[requestClass.ordinal()].latency.update(ns / NANOS_PER_MICRO);
    }

    void queueing(String tenant, RequestClass requestClass, long ns) {
        tenant(tenant).queueing.update(ns / NANOS_PER_MICRO);
        byClass[requestClass.ordinal()].queueing.update(ns / NANOS_PER_MICRO);
    }

    void running(String tenant, RequestClass requestClass, long ns) {
        tenant(tenant).running.update(ns / NANOS_PER_MICRO);
        byClass[requestClass.ordinal()].running.update(ns / NANOS_PER_MICRO);
    }

    /** Counts an error answer of the entry by its kind; a kind is registered when it is first counted. */
    void refused(ErrorKind kind) {
        Counter counter = refused[kind.ordinal()];
        if (counter.getCount() == 0) {
            String name = "requests.refused." + kind.name().toLowerCase(Locale.ROOT);
            registry.gauge(name, () -> counter::getCount);
        }
        counter.inc();
    }
}
