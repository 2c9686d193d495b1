package org.cornelcove.rules;

import org.cornelcove.model.request.RequestClass;

/**
 * What a rule that leaves out an optional key gets. The class of requests is the strictest: a service whose rule names
 * none has its requests refused for want of a key rather than run twice.
 */
public final class RuleDefaults {
    /** The class of a service's requests. */
    public static final RequestClass SERVICE_CLASS = RequestClass.ONCE;
    /** The deadline of a request that names none. */
    public static final long SERVICE_DEADLINE_MS = 10_000;
    /** The longest deadline that a request may ask for. */
    public static final long SERVICE_MAX_DEADLINE_MS = 60_000;
    /** The largest request body. */
    public static final long SERVICE_MAX_BODY_BYTES = 1 << 20;
    /** The most requests of a service that wait at one entry. */
    public static final int SERVICE_MAX_QUEUED = 256;
    /** Requests expected to run at most this long count as short. */
    public static final long SERVICE_SHORT_RUN_MS = 100;
    /** The share of slots that long requests never take. */
    public static final int SERVICE_SHORT_SLOTS_PERCENT = 25;
    /** The most requests of a tenant that wait at one entry. */
    public static final int TENANT_MAX_QUEUED = 128;
    /** The weight of a tenant or team in fair sharing. */
    public static final int WEIGHT = 1;

    private RuleDefaults() {}
}
