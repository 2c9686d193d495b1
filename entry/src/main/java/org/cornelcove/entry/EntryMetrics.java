package org.cornelcove.entry;

import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.request.RequestClass;

/**
 * Histograms of latency, queueing and run time by tenant and by class, and a counter for each kind of decision. A
 * tenant that the rules don't name counts as {@code other}, so that callers can't make names without bound.
 */
final class EntryMetrics {
    static final String OTHER = "other";

    private final MetricRegistry registry = new MetricRegistry();
    private final Group[] byClass = new Group[RequestClass.values().length];
    private final ConcurrentMap<String, Group> byTenant = new ConcurrentHashMap<>();
    private final Counter[] refused = new Counter[ErrorKind.values().length];
    final Counter admitted = registry.counter("requests.admitted");
    final Counter retried = registry.counter("requests.retried");
    final Counter forwarded = registry.counter("requests.forwarded");
    final Counter fenced = registry.counter("requests.fenced");
    final Counter ejected = registry.counter("targets.ejected");
    final Counter unknown = registry.counter("requests.unknown");

    private record Group(Timer latency, Timer queueing, Timer running) {}

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
        return new Group(timer(name + ".latency"), timer(name + ".queueing"), timer(name + ".running"));
    }

    private Timer timer(String name) {
        return registry.timer(name, () -> new Timer(new HdrReservoir()));
    }

    private Group tenant(String name) {
        return byTenant.computeIfAbsent(name, one -> group("tenant." + one));
    }

    void latency(String tenant, RequestClass requestClass, long ns) {
        tenant(tenant).latency.update(ns, TimeUnit.NANOSECONDS);
        byClass[requestClass.ordinal()].latency.update(ns, TimeUnit.NANOSECONDS);
    }

    void queueing(String tenant, RequestClass requestClass, long ns) {
        tenant(tenant).queueing.update(ns, TimeUnit.NANOSECONDS);
        byClass[requestClass.ordinal()].queueing.update(ns, TimeUnit.NANOSECONDS);
    }

    void running(String tenant, RequestClass requestClass, long ns) {
        tenant(tenant).running.update(ns, TimeUnit.NANOSECONDS);
        byClass[requestClass.ordinal()].running.update(ns, TimeUnit.NANOSECONDS);
    }

    /** Counts an answer of the system's own by its kind; a kind shows up once it was counted. */
    void refused(ErrorKind kind) {
        Counter counter = refused[kind.ordinal()];
        if (counter.getCount() == 0) {
            String name = "requests.refused." + kind.name().toLowerCase(Locale.ROOT);
            registry.gauge(name, () -> counter::getCount);
        }
        counter.inc();
    }
}
